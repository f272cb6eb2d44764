import {createServer} from 'node:http';
import {expect} from 'chai';
import type {Message} from '@egretspoke/protocol';
import {
	createConnectionBudget,
	createSystemClock,
	noConnectionLimits,
} from '@egretspoke/shared';
import type {MessageChannel} from '../src/message-channel.js';
import {createWebSocketTransport, listen} from '../src/web-socket-transport.js';

const clock = createSystemClock({keepAlive: true});
const never = new AbortController().signal;

const createTransport = (
	node: string,
	onRefused: (detail: string) => void = () => undefined,
) =>
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
		onRefused,
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
	describe('connecting', () => {
		// Guards against an odd address in a record of a member, which ended every node that the record reached.
		it('reports an unusable address as unreachable', async () => {
			const refused: string[] = [];
			const transport = createTransport('vm-1', (detail) =>
				refused.push(detail),
			);
			for (const address of [
				'127.0.0.1:99999',
				'127.0.0.1:0',
				'127.0.0.1:-1',
				'127.0.0.1',
				'not an address',
				'[::1',
				'127.0.0.1:80/#',
				'',
			]) {
				// eslint-disable-next-line no-await-in-loop -- one address after another.
				expect(await transport.connect(address, never)).to.equal(undefined);
			}

			expect(refused).to.have.length(8);
			expect(refused[0]).to.equal('not an address: 127.0.0.1:99999');
			await transport.close();
		});
	});

	describe('listening', () => {
		// Guards against a node that ends with a stack, because `ws` emits the error of its server again.
		it('rejects when the port is taken', async () => {
			const [first, second] = [
				createTransport('vm-1'),
				createTransport('vm-2'),
			];
			const port = await first.listen('127.0.0.1', 0);
			let code: unknown;
			try {
				await second.listen('127.0.0.1', port);
			} catch (error) {
				({code} = error as NodeJS.ErrnoException);
			}

			expect(code).to.equal('EADDRINUSE');
			await Promise.all([first.close(), second.close()]);
		});

		// Guards against a node that ends when it can't accept a connection.
		it('reports an error of a server that listens', async () => {
			const server = createServer();
			const errors: string[] = [];
			await listen(server, '127.0.0.1', 0, ({message}) => errors.push(message));
			server.emit('error', new Error('accept EMFILE'));
			expect(errors).to.deep.equal(['accept EMFILE']);
			server.close();
		});
	});

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
