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
	const sockets = new Set();
	let currentId = id;
	let queue = [];
	let running = 0;
	/** Incremented by a crash; what ran before it has ended with it. */
	let boot = 0;

	const startNext = () => {
		while (running < slots && queue.length > 0) {
			running++;
			queue.shift()();
		}
	};

	const accept = (socket) => {
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
			const bootOfRun = boot;
			onRun?.(request);
			setTimeout(() => {
				if (boot !== bootOfRun) {
					return;
				}

				running--;
				startNext();
				const body = answer(request);
				respond(
					request,
					'200 OK',
					[`Response-Signature: ${currentId}.${request.requestId}`],
					body,
				);
			}, work(request));
		};

		const serve = (request) => {
			if (request.path === '/health') {
				respond(request, '200 OK', [`Instance-Id: ${currentId}`], '');
				return;
			}

			const expected = request.headers.get('expected-instance');
			if (expected !== undefined && expected !== currentId) {
				respond(
					request,
					'421 Misdirected Request',
					[`Instance-Id: ${currentId}`],
					'',
				);
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
	};

	let server;
	let port = 0;
	let isUp = false;
	const listen = async () => {
		server = createServer(accept);
		await new Promise((resolve) => {
			server.listen(port, ip, resolve);
		});
		port = server.address().port;
		isUp = true;
	};

	const end = () => {
		isUp = false;
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	};

	await listen();
	return {
		get id() {
			return currentId;
		},
		slots,
		address: `${ip}:${port}`,
		isUp: () => isUp,
		/** Ends as a killed process does. */
		async crash() {
			boot++;
			running = 0;
			queue = [];
			end();
		},
		async restart(newId) {
			currentId = newId;
			await listen();
		},
		close: end,
	};
}
