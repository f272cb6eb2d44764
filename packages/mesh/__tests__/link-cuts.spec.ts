/**
 * Links that end within an answer. The part that has arrived must not pass for
 * the answer of a target.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {WebSocketServer, type WebSocket} from 'ws';
import {createMemoryBudget} from '../src/decisions/memory/memory-budget.js';
import {unknownSize} from '../src/links/compact-message.js';
import type {Outcome} from '../src/links/exchange.js';
import {createPeerLink, type PeerLink} from '../src/links/peer-link.js';
import {encodeFrame, type PeerMessage} from '../src/links/peer-message.js';
import {addFrameHeader, maxHeaderLength} from '../src/links/socket-frame.js';
import {createTargetRequest} from './target-client-fixture.js';

type End = 'close' | 'reset';

const ends: End[] = ['close', 'reset'];
const body = 'the whole body of an answer';

/** The bytes of a frame with one message, or with several. */
const frameOf = (...messages: PeerMessage[]) =>
	addFrameHeader(encodeFrame({sentAt: 0, messages}, maxHeaderLength), false);

const answer = (streamSize?: number): PeerMessage => ({
	kind: 'outcome',
	exchange: 1,
	outcome: {
		kind: 'answered',
		status: 200,
		headers: ['Request-Id', 'a'],
		body: Buffer.from(streamSize === undefined ? body : ''),
	},
	load: undefined,
	...(streamSize !== undefined && {streamSize}),
});
const part = (text: string, rest: 'more' | 'last'): PeerMessage => ({
	kind: 'part',
	exchange: 1,
	bytes: Buffer.from(text),
	rest,
});

/** The frames of an answer. */
const shapes: Record<string, Uint8Array[]> = {
	'that is held whole': [frameOf(answer())],
	'behind another message in one frame': [
		frameOf({kind: 'version', version: 1}, answer()),
	],
	'that arrives in parts': [
		frameOf(answer(body.length)),
		frameOf(part(body.slice(0, 9), 'more')),
		frameOf(part(body.slice(9), 'more')),
		frameOf(part('', 'last')),
	],
	'of unknown size that arrives in parts': [
		frameOf(answer(unknownSize)),
		frameOf(part(body.slice(0, 9), 'more')),
		frameOf(part(body.slice(9), 'more')),
		frameOf(part('', 'last')),
	],
};

describe('a link that ends within an answer', () => {
	let server: WebSocketServer;
	let link: PeerLink;

	beforeEach(async () => {
		server = new WebSocketServer({port: 0, host: '127.0.0.1'});
		await once(server, 'listening');
	});

	afterEach(() => {
		link.close();
		server.close();
	});

	/** Opens a link; returns the socket of the other node. */
	const open = async (): Promise<Socket> => {
		const connected = once(server, 'connection') as Promise<
			[WebSocket, IncomingMessage]
		>;
		await new Promise<void>((resolve) => {
			link = createPeerLink({
				budget: createMemoryBudget(350_000_000),
				address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
				clock: createVirtualClock(),
				hello: () => [],
				onMessage: () => undefined,
				onMalformed: () => undefined,
				onUnread: () => undefined,
				onLost: () => undefined,
				onChange() {
					resolve();
				},
			});
		});
		const [peer, {socket}] = await connected;
		peer.on('error', () => undefined);
		return socket;
	};

	/** Reads an outcome to its end; returns its body, or how it failed. */
	const readAll = async (outcome: Outcome) =>
		new Promise<string>((resolve) => {
			if (outcome.kind !== 'answered') {
				resolve(outcome.kind);
				return;
			}

			const {stream} = outcome;
			if (!stream) {
				resolve(Buffer.from(outcome.body).toString());
				return;
			}

			let text = '';
			stream.read({
				onPart(bytes) {
					text += Buffer.from(bytes).toString();
					stream.release(bytes.byteLength);
				},
				onEnd() {
					resolve(text);
				},
				onCut() {
					resolve('cut');
				},
			});
		});

	/** Sends a request over a new link that ends after so many bytes of its answer. */
	const resultOf = async (bytes: Uint8Array, end: End) => {
		const socket = await open();
		const result = new Promise<string>((resolve) => {
			link.send(createTargetRequest('a'), (outcome) => {
				resolve(readAll(outcome));
			});
		});
		await once(socket, 'data');
		const finish = () => {
			if (end === 'close') {
				socket.end();
			} else {
				socket.resetAndDestroy();
			}
		};

		if (bytes.byteLength === 0) {
			finish();
		} else {
			socket.write(bytes, finish);
		}

		const read = await result;
		link.close();
		return read;
	};

	const expectCuts = async (frames: Uint8Array[], end: End) => {
		const whole = Buffer.concat(frames);
		for (let size = 0; size < whole.byteLength; size++) {
			// eslint-disable-next-line no-await-in-loop -- one link after the other.
			const result = await resultOf(whole.subarray(0, size), end);
			expect(result, `cut at ${size} of ${whole.byteLength}`).to.be.oneOf([
				'lost',
				'cut',
			]);
		}
	};

	for (const [name, frames] of Object.entries(shapes)) {
		it(`delivers an answer ${name} when it is whole`, async () => {
			expect(await resultOf(Buffer.concat(frames), 'close')).to.equal(body);
		});

		for (const end of ends) {
			// Guards against a part of an answer that passes for a whole one.
			it(`loses an answer ${name} at every byte (${end})`, async () =>
				expectCuts(frames, end));
		}
	}
});
