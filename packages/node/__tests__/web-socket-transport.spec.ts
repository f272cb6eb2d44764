import {expect} from 'chai';
import type {Message} from '@egretspoke/protocol';
import {createSystemClock} from '@egretspoke/shared';
import type {MessageChannel} from '../src/message-channel.js';
import {createWebSocketTransport} from '../src/web-socket-transport.js';

const clock = createSystemClock({keepAlive: true});
const never = new AbortController().signal;

const createTransport = (node: string) =>
	createWebSocketTransport({
		clock,
		self: () => ({node, incarnation: 1, dataCentre: 'a'}),
		secret: 'peer-secret-0123456789',
		messageLimit: 16 * 1024 * 1024,
		handshakeLimit: 8,
		onMalformed: () => undefined,
		onRefused: () => undefined,
	});

/** Opens a channel from `vm-2` to `vm-1`, with both of its ends. */
const openPair = async () => {
	const [first, second] = [createTransport('vm-1'), createTransport('vm-2')];
	const accepted = new Promise<MessageChannel>((resolve) => {
		first.accept(resolve);
	});
	const port = await first.listen('127.0.0.1', 0);
	const opened = await second.connect(`127.0.0.1:${port}`, never);
	return {first, second, atFirst: await accepted, atSecond: opened!};
};

const readAll = async (channel: MessageChannel): Promise<Message[]> => {
	const messages: Message[] = [];
	for await (const message of channel.receive()) {
		messages.push(message);
	}

	return messages;
};

describe('the transport between nodes', () => {
	describe('closing', () => {
		// Guards against answers to other nodes that are lost at the end of a stop.
		it('sends the messages that were written before', async () => {
			const {first, second, atFirst, atSecond} = await openPair();
			const reading = readAll(atSecond);
			const body = new Uint8Array(7 * 1024 * 1024);
			const answer = (exchange: number): Message => ({
				type: 'answer',
				exchange,
				kind: 'answered',
				status: 200,
				headers: {},
				body,
				length: body.length,
			});
			expect(atFirst.send(answer(1))).to.equal(true);
			expect(atFirst.send(answer(2))).to.equal(true);
			atFirst.close('stopping');
			await first.close();
			const messages = await reading;
			expect(messages.map(({type}) => type)).to.deep.equal([
				'answer',
				'answer',
			]);
			await second.close();
		});
	});
});
