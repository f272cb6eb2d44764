import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {createMemoryPlatform} from '@egretspoke/stand-ins';
import {createSystemClock} from '@egretspoke/shared';
import {readAnswers, writeRequest} from './caller-listener-fixture.js';
import {
	openSocket,
	startFixtureWith,
	type FixtureOptions,
	type ListenerFixture,
} from './listener-fixture.js';

const largeBody = 'x'.repeat(24 * 1024 * 1024);

describe('a planned stop', () => {
	let fixture: ListenerFixture;
	/** The open requests at the target. */
	let held: ServerResponse[];
	let target: ReturnType<typeof createServer>;

	beforeEach(() => {
		held = [];
		target = createServer();
	});

	afterEach(async () => {
		await fixture.close();
	});

	const start = async (options: FixtureOptions = {}) => {
		fixture = await startFixtureWith({
			onRequest(incoming, response) {
				incoming.resume();
				held.push(response);
				target.emit('held');
			},
			...options,
		});
	};

	const send = async (path = '/orders') => {
		const socket = await openSocket(fixture.node.addresses.caller);
		socket.write(writeRequest(path));
		return {socket, answers: readAnswers(socket)};
	};

	const sendHeld = async () => {
		const isHeld = once(target, 'held');
		const sent = await send();
		await isHeld;
		return sent;
	};

	describe('while the platform answers slowly', () => {
		// Guards against requests that are taken, or reset, after the last accepted one was answered.
		it('refuses requests as not run, with a Retry-After', async () => {
			const platform = createMemoryPlatform({
				clock: createSystemClock({keepAlive: true}),
			});
			await start({platform});
			while (platform.counters.writes === 0) {
				// eslint-disable-next-line no-await-in-loop -- until the node is listed.
				await wait(20);
			}

			const {writes} = platform.counters;
			platform.faults.delay = 1500;
			const drained = fixture.node.drain();
			while (platform.counters.writes === writes) {
				// eslint-disable-next-line no-await-in-loop -- until its row is being removed.
				await wait(20);
			}

			const {answers} = await send();
			const [refusal] = await answers;
			expect(refusal?.status).to.equal(503);
			expect(refusal?.headers).to.include({
				'egretspoke-outcome': 'not-run',
				'egretspoke-error': '207 Leaving',
				'retry-after': '0',
			});
			expect(await drained).to.equal(0);
		});
	});

	describe('whose drain time runs out', () => {
		beforeEach(async () => start({timings: '{drain: 300ms}'}));

		// Guards against a request that was handed over and ends without an answer.
		it('answers requests that still run as unknown, and counts them', async () => {
			const {answers} = await sendHeld();
			const cut = await fixture.node.drain();
			const seen = await answers;
			expect(
				seen.map(({status, headers}) => [
					status,
					headers['egretspoke-outcome'],
				]),
			).to.deep.equal([[502, 'unknown']]);
			expect(cut).to.equal(1);
		});
	});

	describe('with a caller that reads slowly', () => {
		beforeEach(async () => start({bodyLimit: '32MB'}));

		// Guards against a large answer cut although it was handed to the connection.
		it('ends after the whole answer has been sent', async () => {
			const {socket, answers} = await sendHeld();
			socket.pause();
			held[0]!.end(largeBody);
			await wait(200);
			const drained = fixture.node.drain();
			await wait(200);
			socket.resume();
			const [answer] = await answers;
			expect(answer!.body.length).to.equal(largeBody.length);
			expect(await drained).to.equal(0);
		});
	});

	describe('ended by a second signal', () => {
		beforeEach(async () => start());

		// Guards against a first stop that reports success for requests that the second one cut.
		it('reports the same cut requests for both', async () => {
			const {answers} = await sendHeld();
			const drained = fixture.node.drain();
			const cut = await fixture.node.stop();
			expect([cut, await drained]).to.deep.equal([1, 1]);
			const seen = await answers;
			expect(seen.map(({status}) => status)).to.deep.equal([502]);
		});
	});
});
