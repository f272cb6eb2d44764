import {expect} from 'chai';
import {
	createConnectionBudget,
	createSystemClock,
	noConnectionLimits,
} from '@egretspoke/shared';
import type {CallRequest} from '@egretspoke/protocol';
import type {MessageChannel} from '../src/message-channel.js';
import {silentReporter, type NodeEvent} from '../src/node-reporter.js';
import {createPeerConnection} from '../src/peer-connection.js';
import {createWebSocketTransport} from '../src/web-socket-transport.js';

const never = new AbortController().signal;

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

const createTransport = (node: string) =>
	createWebSocketTransport({
		clock: createSystemClock({keepAlive: true}),
		connectionBudget: createConnectionBudget({
			clock: createSystemClock({keepAlive: true}),
			limits: noConnectionLimits,
		}),
		self: () => ({node, incarnation: 1, dataCentre: 'a'}),
		secret: 'peer-secret-0123456789',
		messageLimit: 16 * 1024 * 1024,
		handshakeLimit: 8,
		onMalformed: () => undefined,
		onRefused: () => undefined,
	});

/** Two nodes, the second of which calls the first; all calls are answered at the same time. */
const startPair = async (calls: number, bodyLength: number) => {
	const [first, second] = [createTransport('vm-1'), createTransport('vm-2')];
	const events: NodeEvent[] = [];
	let answerAll: () => void = () => undefined;
	const answering = new Promise<void>((resolve) => {
		answerAll = resolve;
	});
	let arrived = 0;
	const connect = (channel: MessageChannel) => {
		const connection = createPeerConnection(channel, {
			reporter: {
				...silentReporter,
				recordEvent(event) {
					events.push(event);
				},
			},
			async call() {
				if (++arrived === calls) {
					answerAll();
				}

				await answering;
				const body = new Uint8Array(bodyLength);
				return {
					outcome: {kind: 'answered', answer: {status: 200, headers: {}, body}},
				};
			},
			probe() {
				throw new Error('not used');
			},
			configurationBody: () => undefined,
			receiveSuspects: () => undefined,
			initialMessage: () => undefined,
		});
		void connection.serve();
		return connection;
	};

	first.accept(connect);
	const port = await first.listen('127.0.0.1', 0);
	const channel = await second.connect(`127.0.0.1:${port}`, never);
	const connection = connect(channel!);
	return {
		events,
		async call() {
			const {outcome} = await connection.call(request, {role: 'run'}, never);
			return outcome.kind;
		},
		async close() {
			await Promise.all([first.close(), second.close()]);
		},
	};
};

describe('a connection to a peer', () => {
	describe('with more answers at once than its socket takes', () => {
		const callAtOnce = async (calls: number, bodyLength: number) => {
			const pair = await startPair(calls, bodyLength);
			const outcomes = await Promise.all(
				Array.from({length: calls}, async () => pair.call()),
			);
			await pair.close();
			return {outcomes, events: pair.events};
		};

		// Guards against answers that are dropped, so that their callers wait until their deadlines.
		it('sends large answers of several calls', async () => {
			const {outcomes} = await callAtOnce(4, 7 * 1024 * 1024);
			expect(outcomes).to.deep.equal(Array.from({length: 4}).fill('answered'));
		});

		// Guards against a caller that isn't told that its answer was dropped.
		it('ends every call, and reports the answers that did not fit', async () => {
			const {outcomes, events} = await callAtOnce(12, 7 * 1024 * 1024);
			const dropped = outcomes.filter((kind) => kind === 'unknown');
			expect(outcomes).not.to.include('notRun');
			expect(dropped.length).to.be.above(0);
			expect(
				events.filter(({name}) => name === 'answerDropped'),
			).to.have.length(dropped.length);
		});
	});
});
