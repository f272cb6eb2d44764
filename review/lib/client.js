/** Stand-in for a client: sends one request over a raw connection. */
import {connect} from 'node:net';
import {createMessageReader} from './http.js';

/**
 * Sends a request over a new connection; resolves with its status, headers and
 * body once the answer is complete, or without a status if the connection ends first.
 */
export async function sendRequest(
	address,
	{method = 'GET', path, host, requestId, timeLeft, body},
) {
	return new Promise((resolve) => {
		const [ip, port] = address.split(':');
		const socket = connect({host: ip, port: Number(port), noDelay: true});
		const finish = (answer) => {
			clearTimeout(timer);
			resolve(answer);
			socket.destroy();
		};

		const timer = setTimeout(() => {
			finish({end: 'gave up'});
		}, timeLeft);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			finish({end: 'closed'});
		});
		socket.on(
			'data',
			createMessageReader(({start, headers, body: received}) => {
				finish({status: Number(start.split(' ')[1]), headers, body: received});
			}),
		);
		socket.on('connect', () => {
			const length =
				body === undefined ? '' : `Content-Length: ${body.byteLength}\r\n`;
			socket.write(
				`${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: ${requestId}\r\nRequest-Timeout-Ms: ${timeLeft}\r\n${length}\r\n`,
			);
			if (body !== undefined) {
				socket.write(body);
			}
		});
	});
}
