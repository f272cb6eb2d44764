/** Stand-in for a backend: raw HTTP/1.1, so that a test decides about every byte. */
import {createServer} from 'node:net';
import {createMessageReader} from './http.js';

/**
 * Starts a backend at a free port of the address.
 *
 * @param options.slots - Requests that it runs at once; it declines those beyond 108 more.
 * @param options.work - Returns the milliseconds that a request takes.
 * @param options.declines - Returns whether the request is declined, although there is room.
 * @param options.sendsAgain - Returns whether a copy of the response follows late, when the next response is expected.
 * @param options.answer - Returns the body of a response.
 * @param options.onRun - Receives each request that it begins to run.
 */
export async function startBackend({
	ip,
	id,
	slots,
	work,
	declines = () => false,
	sendsAgain = () => false,
	answer = ({requestId}) => `ran ${requestId}`,
	onRun,
}) {
	const queueLimit = 108;
	const queue = [];
	const sockets = new Set();
	let running = 0;

	const startNext = () => {
		while (running < slots && queue.length > 0) {
			running++;
			queue.shift()();
		}
	};

	const server = createServer((socket) => {
		const waiting = [];
		let isBusy = false;
		/** The copy of an earlier response. */
		let late;
		sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});

		const respond = (request, status, lines, body) => {
			const text = [
				`HTTP/1.1 ${status}`,
				...(request.requestId === undefined
					? []
					: [`Request-Id: ${request.requestId}`]),
				...lines,
				'Keep-Alive: timeout=10',
				`Content-Length: ${body.length}`,
				'',
				body,
			].join('\r\n');
			if (!socket.destroyed) {
				socket.write(text, 'latin1');
			}

			if (sendsAgain(request, status)) {
				late = text;
			}

			isBusy = false;
			serveNext();
		};

		const run = (request) => {
			onRun?.(request);
			setTimeout(() => {
				running--;
				startNext();
				const body = answer(request);
				respond(
					request,
					'200 OK',
					[`Response-Signature: ${id}.${request.requestId}`],
					body,
				);
			}, work(request));
		};

		const serve = (request) => {
			if (request.path === '/health') {
				respond(request, '200 OK', [`Instance-Id: ${id}`], '');
				return;
			}

			const expected = request.headers.get('expected-instance');
			if (expected !== undefined && expected !== id) {
				respond(request, '421 Misdirected Request', [`Instance-Id: ${id}`], '');
				return;
			}

			if (request.requestId === undefined) {
				respond(request, '400 Bad Request', ['Not-Executed: 1'], '');
				return;
			}

			if (queue.length >= queueLimit || declines(request)) {
				respond(request, '503 Service Unavailable', ['Not-Executed: 1'], '');
				return;
			}

			queue.push(() => {
				run(request);
			});
			startNext();
		};

		/** One request at a time on a connection. */
		const serveNext = () => {
			if (isBusy || waiting.length === 0) {
				return;
			}

			isBusy = true;
			if (late !== undefined) {
				socket.write(late, 'latin1');
				late = undefined;
			}

			serve(waiting.shift());
		};

		socket.on(
			'data',
			createMessageReader(({start, headers, body}) => {
				const [method, path] = start.split(' ');
				waiting.push({
					method,
					path,
					headers,
					body,
					requestId: headers.get('request-id'),
				});
				serveNext();
			}),
		);
	});
	await new Promise((resolve) => {
		server.listen(0, ip, resolve);
	});
	return {
		id,
		slots,
		address: `${ip}:${server.address().port}`,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
