import {ErrorCode, type CallRequest} from '@egretspoke/protocol';
import {
	createConnectionBudget,
	createSupervisor,
	createSystemClock,
	noConnectionLimits,
} from '@egretspoke/shared';
import {expect} from 'chai';
import type {MessageChannel} from '../src/message-channel.js';
import {silentReporter} from '../src/node-reporter.js';
import {createPeerConnection} from '../src/peer-connection.js';
import {createWebSocketTransport} from '../src/web-socket-transport.js';

const request: CallRequest = {
	id: 'r',
	service: 'orders',
	method: 'GET',
	path: '/',
	headers: {},
	body: new Uint8Array(0),
	requestClass: 'normal',
	caller: 'c',
	timeLeft: 60_000,
	attempts: 1,
	idempotent: true,
};
const clock = createSystemClock({keepAlive: true});
const createTransport = (node: string) =>
	createWebSocketTransport({
		clock,
		connectionBudget: createConnectionBudget({
			clock,
			limits: noConnectionLimits,
		}),
		self: () => ({node, incarnation: 1, dataCentre: 'a'}),
		secret: 'peer-secret-0123456789',
		messageLimit: 16 * 1024 * 1024,
		handshakeLimit: 8,
		onMalformed: () => undefined,
		onRefused: () => undefined,
	});

describe('a connection to a peer whose handler throws', () => {
	// Guards against a connection that stays open while nothing reads it: its peer's calls wait until their deadlines.
	it('is closed', async () => {
		const [first, second] = [createTransport('vm-1'), createTransport('vm-2')];
		const supervisor = createSupervisor(clock, () => undefined);
		first.accept((channel: MessageChannel) => {
			const connection = createPeerConnection(channel, {
				reporter: silentReporter,
				async call() {
					throw new Error('not called');
				},
				probe() {
					throw new Error('one message');
				},
				configurationBody: () => undefined,
				receiveSuspects: () => undefined,
				initialMessage: () => undefined,
			});
			supervisor.start('peer', async () => connection.serve());
		});
		const port = await first.listen('127.0.0.1', 0);
		const channel = await second.connect(
			`127.0.0.1:${port}`,
			supervisor.signal,
		);
		channel!.send({
			type: 'probe',
			sequence: 1,
			members: [],
			configurationVersion: 0,
		});
		const readUntilEnd = async () => {
			const messages = channel!.receive()[Symbol.asyncIterator]();
			const {done} = await messages.next();
			return done ? 'closed' : 'answered';
		};

		const end = await readUntilEnd();
		await supervisor.stop();
		await Promise.all([first.close(), second.close()]);
		expect(end).to.equal('closed');
	});

	// Guards against a caller that waits until its deadline, and a node that ends by itself, because one call has failed.
	it('answers a call that fails', async () => {
		const [first, second] = [createTransport('vm-1'), createTransport('vm-2')];
		const supervisor = createSupervisor(clock, () => undefined);
		const services = {
			reporter: silentReporter,
			async call(): Promise<never> {
				throw new Error('one call');
			},
			probe(): never {
				throw new Error('not called');
			},
			configurationBody: () => undefined,
			receiveSuspects: () => undefined,
			initialMessage: () => undefined,
		};
		const connect = (channel: MessageChannel) => {
			const connection = createPeerConnection(channel, services);
			supervisor.start(channel.peer.node, async () => connection.serve());
			return connection;
		};

		first.accept(connect);
		const port = await first.listen('127.0.0.1', 0);
		const channel = await second.connect(
			`127.0.0.1:${port}`,
			supervisor.signal,
		);
		const {outcome} = await connect(channel!).call(
			request,
			{role: 'run'},
			AbortSignal.timeout(2000),
		);
		await Promise.all([first.close(), second.close()]);
		await supervisor.stop();
		expect(outcome.kind === 'unknown' && outcome.refusal.code).to.equal(
			ErrorCode.Internal,
		);
	});
});
