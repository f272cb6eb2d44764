/** Stand-ins for clients: raw HTTP/1.1 connections. */
import {connect} from 'node:net';
import {createMessageReader} from './http.js';

/**
 * Opens a connection that carries one request at a time; resolves with undefined
 * if it isn't accepted within a second.
 */
export async function openConnection(address) {
	const [ip, port] = address.split(':');
	const socket = connect({host: ip, port: Number(port), noDelay: true});
	/** Ends the current request. */
	let finish = () => undefined;
	let isOpen = true;
	socket.on('error', () => undefined);
	socket.on('close', () => {
		isOpen = false;
		finish({end: 'closed'});
	});
	socket.on(
		'data',
		createMessageReader(({start, headers, body}) => {
			finish({status: Number(start.split(' ')[1]), headers, body});
		}),
	);
	const isConnected = await new Promise((resolve) => {
		const timer = setTimeout(resolve, 1000, false);
		const decide = (result) => {
			clearTimeout(timer);
			resolve(result);
		};

		socket.once('connect', () => {
			decide(true);
		});
		socket.once('close', () => {
			decide(false);
		});
	});
	if (!isConnected) {
		socket.destroy();
		return undefined;
	}

	return {
		/** Resolves with the status, headers and body of the answer, or with how the request ended without one. */
		async send({method = 'GET', path, host, requestId, timeLeft, body}) {
			if (!isOpen) {
				return {end: 'not sent'};
			}

			return new Promise((resolve) => {
				const timer = setTimeout(() => {
					finish({end: 'gave up'});
				}, timeLeft);
				finish = (answer) => {
					clearTimeout(timer);
					finish = () => undefined;
					resolve(answer);
				};

				const length =
					body === undefined ? '' : `Content-Length: ${body.byteLength}\r\n`;
				socket.write(
					`${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: ${requestId}\r\nRequest-Timeout-Ms: ${timeLeft}\r\n${length}\r\n`,
				);
				if (body !== undefined) {
					socket.write(body);
				}
			});
		},
		close() {
			socket.destroy();
		},
	};
}

/** Sends a request over a new connection. */
export async function sendRequest(address, request) {
	const connection = await openConnection(address);
	if (!connection) {
		return {end: 'not connected'};
	}

	const answer = await connection.send(request);
	connection.close();
	return answer;
}
