/** A peer with the secret that is free to send anything of the right types. */
import type {
	AnswerMessage,
	CallMessage,
	Member,
	Message,
} from '@egretspoke/protocol';
import {
	createConnectionBudget,
	createSystemClock,
	noConnectionLimits,
} from '@egretspoke/shared';
import {createWebSocketTransport} from '../src/web-socket-transport.js';
import {secrets, type ListenerFixture} from './listener-fixture.js';

/** The service that the peer announces. */
export const oddService = 'mending';

/** A connected peer. */
export type OddPeer = {
	member: Member;
	/** Messages received from the node. */
	received: Message[];
	send(message: Message): void;
	/** Replaces how the peer answers calls. */
	answerWith(answer: (message: CallMessage) => Partial<AnswerMessage>): void;
	/** Resolves with the next message of the type. */
	next(type: Message['type']): Promise<Message>;
	isClosed(): boolean;
	close(): Promise<void>;
};

/** Connects a peer to the node and announces it as a target. */
export async function connectOddPeer(
	{node}: ListenerFixture,
	name = 'vm-9',
): Promise<OddPeer> {
	const transport = createWebSocketTransport({
		clock: createSystemClock({keepAlive: true}),
		connectionBudget: createConnectionBudget({
			clock: createSystemClock({keepAlive: true}),
			limits: noConnectionLimits,
		}),
		self: () => ({node: name, incarnation: 1, dataCentre: 'a'}),
		secret: secrets.peer,
		messageLimit: 1024 * 1024,
		handshakeLimit: 8,
		onMalformed: () => undefined,
		onRefused: () => undefined,
	});
	const port = await transport.listen('127.0.0.1', 0);
	const channel = await transport.connect(
		node.addresses.peer,
		new AbortController().signal,
	);
	const member: Member = {
		node: name,
		incarnation: 1,
		heartbeat: 1,
		region: 'default',
		dataCentre: 'a',
		peerAddress: `127.0.0.1:${port}`,
		callerAddress: '127.0.0.1:1',
		state: 'active',
		target: {service: oddService, slots: 8, connections: 8},
		configurationVersion: 0,
	};
	const received: Message[] = [];
	const waiters = new Set<(message: Message) => void>();
	let answer: (message: CallMessage) => Partial<AnswerMessage> = () => ({});
	let isClosed = false;

	const reply = (message: Message) => {
		if (message.type === 'call') {
			channel!.send({
				type: 'answer',
				exchange: message.exchange,
				kind: 'answered',
				status: 200,
				headers: {},
				body: new Uint8Array(0),
				length: 0,
				...answer(message),
			});
		} else if (message.type === 'probe') {
			const {sequence} = message;
			channel!.send({
				type: 'acknowledgement',
				sequence,
				members: [member],
				configurationVersion: 0,
			});
		}
	};

	const read = async () => {
		for await (const message of channel!.receive()) {
			received.push(message);
			for (const waiter of waiters) {
				waiter(message);
			}

			reply(message);
		}

		isClosed = true;
	};

	void read();
	const next = async (type: Message['type']) =>
		new Promise<Message>((resolve) => {
			const waiter = (message: Message) => {
				if (message.type === type) {
					waiters.delete(waiter);
					resolve(message);
				}
			};

			waiters.add(waiter);
		});
	const peer: OddPeer = {
		member,
		received,
		next,
		send: (message) => channel!.send(message),
		answerWith(replacement) {
			answer = replacement;
		},
		isClosed: () => isClosed,
		close: async () => transport.close(),
	};
	const acknowledged = next('acknowledgement');
	peer.send({
		type: 'probe',
		sequence: 1,
		members: [member],
		configurationVersion: 0,
	});
	await acknowledged;
	return peer;
}
