/**
 * A plain buffering proxy that forwards every request to one target, without
 * decisions or control, as the benchmark's baseline for a node:
 * `node forwarder-main.js <ip:port of the target>`.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import process from 'node:process';
import {Agent, type Dispatcher} from 'undici';

const [target = ''] = process.argv.slice(2);
const agent = new Agent({connections: 256, pipelining: 1});
const server = createServer((request, response) => {
	const chunks: Uint8Array[] = [];
	request.on('data', (chunk: Uint8Array) => {
		chunks.push(chunk);
	});
	request.on('end', () => {
		forward(request, Buffer.concat(chunks), response);
	});
});

server.listen(0, '127.0.0.1');
await once(server, 'listening');
const address = server.address();
const port = typeof address === 'object' && address ? address.port : 0;
process.stdout.write(`${JSON.stringify({address: `127.0.0.1:${port}`})}\n`);

function forward(
	request: IncomingMessage,
	body: Uint8Array,
	response: ServerResponse,
): void {
	const chunks: Uint8Array[] = [];
	agent.dispatch(
		{
			origin: `http://${target}`,
			path: request.url ?? '/',
			method: request.method as Dispatcher.HttpMethod,
			headers: {'egretspoke-service': 'work'},
			body,
		},
		{
			onRequestStart() {
				// Nothing to do before the response.
			},
			onResponseStart(_controller, status) {
				response.statusCode = status;
			},
			onResponseData(_controller, chunk) {
				chunks.push(chunk);
			},
			onResponseEnd() {
				response.end(Buffer.concat(chunks));
			},
			onResponseError() {
				response.writeHead(502).end();
			},
		},
	);
}
