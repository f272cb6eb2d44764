import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {StartAbandonedError} from '../src/listener-ports.js';
import {runNodeProcess, stopMargin} from '../src/node-process.js';
import type {RunningNode} from '../src/start-node.js';

const drainTime = 1000;
const addresses = {caller: '', peer: '', admin: ''};

const never = async () =>
	new Promise<never>(() => {
		// Pending for good.
	});

/** Runs a node that is replaced in part, and collects what the process does. */
const run = async (
	node: Partial<RunningNode>,
	start: (abandoned: AbortSignal) => Promise<RunningNode> = async () => ({
		addresses,
		drain: async () => 0,
		stop: async () => 0,
		...node,
	}),
) => {
	const clock = createVirtualClock();
	const listeners = new Map<string, (value: unknown) => void>();
	const lines: string[] = [];
	const codes: number[] = [];
	void runNodeProcess({
		clock,
		drainTime,
		start,
		explainStartFailure: (error) => `not started: ${String(error)}`,
		host: {
			on(event, listener) {
				listeners.set(event, listener);
			},
			writeError: (line) => lines.push(line),
			exit: (code) => codes.push(code),
		},
	});
	await clock.runTo(1);
	return {
		clock,
		lines,
		codes,
		async emit(event: string, value?: unknown) {
			listeners.get(event)!(value);
			await clock.runTo(clock.now() + 1);
		},
	};
};

describe('the process of a node', () => {
	describe('stopping', () => {
		it('ends with 0 after a planned stop that cut nothing', async () => {
			const {codes, emit} = await run({});
			await emit('SIGTERM');
			expect(codes).to.deep.equal([0]);
		});

		it('ends with 1 after a planned stop that cut requests', async () => {
			const {codes, emit} = await run({drain: async () => 2});
			await emit('SIGINT');
			expect(codes).to.deep.equal([1]);
		});

		// Guards against a process that stays without serving because its planned stop threw.
		it('ends with 3 and a line when the stop fails', async () => {
			const {codes, lines, emit} = await run({
				async drain() {
					throw new Error('broken');
				},
			});
			await emit('SIGTERM');
			expect(codes).to.deep.equal([3]);
			expect(lines[0]).to.contain('the stop failed: Error: broken');
		});

		it('ends with 3 and a line when the stop never ends', async () => {
			const {clock, codes, lines, emit} = await run({drain: never});
			await emit('SIGTERM');
			await clock.runTo(drainTime + stopMargin - 1);
			expect(codes).to.deep.equal([]);
			await clock.runTo(drainTime + stopMargin + 10);
			expect(codes).to.deep.equal([3]);
			expect(lines[0]).to.contain('it took longer than 7000 ms');
		});

		it('ends with 3 when the stop on a second signal never ends', async () => {
			const {clock, codes, emit} = await run({drain: never, stop: never});
			await emit('SIGTERM');
			await emit('SIGTERM');
			await clock.runTo(stopMargin + 10);
			expect(codes).to.deep.equal([3]);
		});
	});

	describe('an error that nothing catches', () => {
		for (const event of ['uncaughtException', 'unhandledRejection']) {
			// Guards against requests in flight that are cut by a failure of another part.
			it(`leads to a planned stop and code 3 on ${event}`, async () => {
				let drains = 0;
				const {codes, lines, emit} = await run({
					async drain() {
						drains++;
						return 0;
					},
				});
				await emit(event, new Error('broken'));
				expect(drains).to.equal(1);
				expect(codes).to.deep.equal([3]);
				expect(lines[0]).to.contain('failed: Error: broken');
			});
		}

		it('bounds the lines of errors that repeat', async () => {
			const {lines, emit} = await run({drain: never});
			for (let count = 0; count < 100; count++) {
				// eslint-disable-next-line no-await-in-loop -- one failure after another.
				await emit('uncaughtException', 'broken');
			}

			expect(lines).to.have.length(10);
		});
	});

	describe('starting', () => {
		it('ends with 1 and one line when the start fails', async () => {
			const {codes, lines} = await run({}, async () => {
				throw new Error('broken');
			});
			expect(codes).to.deep.equal([1]);
			expect(lines).to.deep.equal(['not started: Error: broken']);
		});

		it('ends with 0 when a signal abandons the start', async () => {
			const {codes, lines, emit} = await run(
				{},
				async (abandoned) =>
					new Promise((_resolve, reject) => {
						abandoned.addEventListener('abort', () => {
							reject(new StartAbandonedError());
						});
					}),
			);
			await emit('SIGTERM');
			expect(codes).to.deep.equal([0]);
			expect(lines).to.deep.equal([]);
		});

		it('ends on a signal when the start never ends', async () => {
			const {clock, codes, emit} = await run({}, never);
			await emit('SIGTERM');
			await clock.runTo(drainTime + stopMargin + 10);
			expect(codes).to.deep.equal([3]);
		});
	});
});
