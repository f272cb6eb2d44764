/**
 * Answers of a target that end early, as callers of the node see them: on a
 * connection of the caller that carries a further request behind.
 */
import {once} from 'node:events';
import {request as sendRequest, Agent, type IncomingMessage} from 'node:http';
import {gzipSync} from 'node:zlib';
import {parseAddress} from '@egretspoke/shared';
import {expect} from 'chai';
import {startFixtureWith, type ListenerFixture} from './listener-fixture.js';

type End = 'close' | 'reset';

const ends: End[] = ['close', 'reset'];

/** An answer in the bytes of a connection. */
type Shape = {
	method?: string;
	/** In Latin-1. */
	text: string;
	/** Bytes after which an end without a reset is the end of the answer, as HTTP defines it. */
	closeCompletesFrom?: number;
};

const head = (...lines: string[]) =>
	`${['HTTP/1.1 200 OK', 'Content-Type: text/plain', ...lines].join('\r\n')}\r\n\r\n`;
const compressed = gzipSync('compressed '.repeat(9)).toString('latin1');
const withoutLength = head('Connection: close');

const shapes: Record<string, Shape> = {
	'with a length': {text: `${head('Content-Length: 10')}whole body`},
	'in chunks with a trailer': {
		text: `${head('Transfer-Encoding: chunked', 'Connection: close')}4\r\nthis\r\n0\r\nNote: end\r\n\r\n`,
	},
	'compressed, in chunks': {
		text: `${head('Content-Encoding: gzip', 'Transfer-Encoding: chunked')}${compressed.length.toString(16)}\r\n${compressed}\r\n0\r\n\r\n`,
	},
	'without a length': {
		text: `${withoutLength}whole body`,
		closeCompletesFrom: withoutLength.length,
	},
	'behind an interim response': {
		text: `HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\n${head('Content-Length: 10')}whole body`,
	},
	'to HEAD': {method: 'HEAD', text: head('Content-Length: 10')},
};

describe('an answer that the target of a node ends early', () => {
	let fixture: ListenerFixture;
	let agent: Agent;
	const cut: {text: string; end: End} = {text: '', end: 'close'};

	beforeEach(async () => {
		agent = new Agent({keepAlive: true, maxSockets: 1});
		fixture = await startFixtureWith({
			onRequest(incoming, response) {
				const socket = response.socket!;
				const finish = () => {
					if (cut.end === 'close') {
						socket.end();
					} else {
						socket.resetAndDestroy();
					}
				};

				incoming.resume();
				if (incoming.url !== '/cut') {
					response.end(`ran ${incoming.url}`);
				} else if (cut.text === '') {
					finish();
				} else {
					socket.write(cut.text, 'latin1', finish);
				}
			},
		});
	});

	afterEach(async () => {
		agent.destroy();
		await fixture.close();
	});

	/** Sends a request of a caller; its connection breaks unless the answer is complete. */
	const call = async (path: string, method = 'GET') => {
		const {host, port} = parseAddress(fixture.node.addresses.caller)!;
		const request = sendRequest({
			agent,
			host,
			port,
			path,
			method,
			headers: {'egretspoke-service': 'orders'},
		});
		request.end();
		const [response] = (await once(request, 'response')) as [IncomingMessage];
		let body = '';
		response.setEncoding('latin1');
		response.on('data', (part: string) => {
			body += part;
		});
		await once(response, 'end');
		return {
			status: response.statusCode,
			outcome: response.headers['egretspoke-outcome'],
			body,
		};
	};

	const expectCuts = async (
		{method, text, closeCompletesFrom = Number.POSITIVE_INFINITY}: Shape,
		end: End,
	) => {
		cut.end = end;
		for (let size = 0; size < text.length; size += 3) {
			cut.text = text.slice(0, size);
			const place = `cut at ${size} of ${text.length}`;
			// eslint-disable-next-line no-await-in-loop -- one connection.
			const answer = await call('/cut', method);
			if (end === 'close' && size >= closeCompletesFrom) {
				expect(answer, place).to.include({
					status: 200,
					body: text.slice(closeCompletesFrom, size),
				});
			} else {
				expect(answer, place).to.include({status: 502, outcome: 'unknown'});
			}

			// eslint-disable-next-line no-await-in-loop -- one connection.
			expect(await call(`/next/${size}`), place).to.include({
				status: 200,
				body: `ran /next/${size}`,
			});
		}
	};

	for (const [name, shape] of Object.entries(shapes)) {
		for (const end of ends) {
			// Guards against a part of an answer that a caller takes for a whole one.
			it(`is unknown at every third byte, ${name} (${end})`, async () =>
				expectCuts(shape, end));
		}
	}
});
