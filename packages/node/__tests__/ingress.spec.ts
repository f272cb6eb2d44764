import {expect} from 'chai';
import {egretspokePolicy} from '@egretspoke/decisions';
import type {CallRequest} from '@egretspoke/protocol';
import {createRandom, createVirtualClock, sleep} from '@egretspoke/shared';
import {createIngress} from '../src/ingress.js';
import type {NodeQuarantine} from '../src/node-quarantine.js';
import {silentReporter} from '../src/node-reporter.js';
import {createRunningRequests} from '../src/running-requests.js';
import {createLocalQuarantine} from './local-quarantine.js';

const serviceTime = 20;
const never = new AbortController().signal;

function createCall(id: string): CallRequest {
	return {
		id,
		service: 'orders',
		method: 'GET',
		path: '/',
		headers: {},
		body: new Uint8Array(0),
		requestClass: 'normal',
		caller: id,
		timeLeft: 1000,
		attempts: 1,
		idempotent: true,
	};
}

function createIngressWith(
	slots: number,
	overrides: {
		beforeSend?: (id: string) => void;
		quarantine?: Partial<NodeQuarantine>;
	} = {},
) {
	const clock = createVirtualClock();
	const ran: string[] = [];
	const ingress = createIngress({
		clock,
		admission: egretspokePolicy.createAdmission({
			service: 'orders',
			slots,
			dataCentre: 'a',
			random: createRandom(1),
		}),
		target: {
			isListening: async () => true,
			async send({id}) {
				overrides.beforeSend?.(id);
				ran.push(id);
				await sleep(clock, serviceTime);
				return {
					kind: 'answer',
					answer: {status: 200, headers: {}, body: new Uint8Array(0)},
				};
			},
		},
		announcement: {service: 'orders', slots, connections: 10},
		running: createRunningRequests(),
		reporter: silentReporter,
		quarantine: {...createLocalQuarantine(clock), ...overrides.quarantine},
		getRefusalCode: () => undefined,
	});
	const run = async (id: string, signal = never) => {
		const {kind} = await ingress.run(createCall(id), signal);
		return kind;
	};

	return {clock, ingress, ran, run};
}

describe('ingress', () => {
	describe('of a target that leaves', () => {
		it('refuses waiting requests, finishes running ones and admits no new ones', async () => {
			// An operator takes a target out of service while one request runs and
			// one waits.
			const {clock, ingress, ran, run} = createIngressWith(1);
			const running = run('running');
			const waiting = run('waiting');
			await clock.runTo(1);
			ingress.leave();
			expect(await waiting).to.equal('notRun');
			expect(await run('late')).to.equal('notRun');
			await clock.runTo(2 * serviceTime);
			expect(await running).to.equal('answered');
			expect(ran).to.deep.equal(['running']);
		});

		it('would still serve entry nodes with an old membership if the ingress did not refuse', async () => {
			// The same without the refusal at the ingress: an entry node that has not
			// received the update yet still gets work done at the leaving target.
			const {clock, ran, run} = createIngressWith(1);
			const late = run('late');
			await clock.runTo(2 * serviceTime);
			expect(await late).to.equal('answered');
			expect(ran).to.deep.equal(['late']);
		});

		it('admits requests again after it has rejoined', async () => {
			const {clock, ingress, run} = createIngressWith(1);
			ingress.leave();
			ingress.rejoin();
			const outcome = run('again');
			await clock.runTo(2 * serviceTime);
			expect(await outcome).to.equal('answered');
		});
	});

	describe('after an internal error', () => {
		// Guards against a slot of the target that stays taken, because its client threw.
		it('runs the next request', async () => {
			const {clock, run} = createIngressWith(1, {
				beforeSend(id) {
					if (id === 'odd') {
						throw new Error('broken');
					}
				},
			});
			const odd = run('odd');
			await clock.runTo(1000);
			expect(await odd).to.equal('unknown');
			const next = run('next');
			await clock.runTo(2000);
			expect(await next).to.equal('answered');
		});

		// Guards against suspect requests that wait for ever behind one whose turn never ended.
		it('runs the next request that runs alone', async () => {
			let checks = 0;
			const {clock, run} = createIngressWith(1, {
				quarantine: {
					lookUp: () => ({identity: 'odd', round: 1, crashes: 2}),
					blocks() {
						if (++checks === 2) {
							throw new Error('broken');
						}

						return false;
					},
				},
			});
			let error: unknown;
			try {
				await run('first');
			} catch (error_) {
				error = error_;
			}

			expect(String(error)).to.equal('Error: broken');
			const next = run('next');
			await clock.runTo(1000);
			expect(await next).to.equal('answered');
		});
	});

	describe('with a caller that gives up', () => {
		it('runs no request whose caller had gone before it arrived', async () => {
			// A cancelled call is read from the socket after its cancellation.
			const {ran, run} = createIngressWith(1);
			expect(await run('gone', AbortSignal.abort())).to.equal('notRun');
			expect(ran).to.deep.equal([]);
		});

		it('removes its waiting request from the queue', async () => {
			// A supervisor closes the roster board while its request waits. If it
			// still ran, it would use a slot for no caller.
			const {clock, ran, run} = createIngressWith(1);
			const running = run('running');
			const caller = new AbortController();
			const waiting = run('waiting', caller.signal);
			await clock.runTo(1);
			caller.abort();
			expect(await waiting).to.equal('notRun');
			await clock.runTo(3 * serviceTime);
			expect(await running).to.equal('answered');
			expect(ran).to.deep.equal(['running']);
		});
	});
});
