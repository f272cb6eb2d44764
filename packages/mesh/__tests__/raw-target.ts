/** A target that writes scripted bytes, for answers that Node's HTTP server does not produce. */
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';

/** A request as received, without its body. */
export type RawRequest = {
	socket: Socket;
	/** Ordinal of the connection, from 0. */
	connection: number;
	/** Request line and headers. */
	head: string;
	id: string;
};

/** A running target. */
export type RawTarget = {
	address: string;
	requests: RawRequest[];
	/** Connections that are not closed. */
	connections: Set<Socket>;
	/** Is called once the head of a request has arrived. */
	setBehaviour(behaviour: (request: RawRequest) => void): void;
	close(): Promise<void>;
};

/** Returns a complete, signed success; `lines` are additional header lines. */
export function createAnswer(
	id: string,
	body = 'done',
	lines: string[] = [],
): string {
	return [
		'HTTP/1.1 200 OK',
		`Request-Id: ${id}`,
		'Signed: signed',
		`Content-Length: ${body.length}`,
		...lines,
		'',
		body,
	].join('\r\n');
}

/** Writes the bytes again and again, as fast as they are read, until the connection closes. */
export function writeWithoutEnd(socket: Socket, bytes: Uint8Array): void {
	const writeNext = () => {
		while (!socket.destroyed && socket.write(bytes)) {
			// The system's buffer has room.
		}
	};

	socket.on('drain', writeNext);
	writeNext();
}

/** Starts a target on a free port of loopback. */
export async function startRawTarget(): Promise<RawTarget> {
	const requests: RawRequest[] = [];
	const connections = new Set<Socket>();
	let opened = 0;
	let behaviour: (request: RawRequest) => void = ({socket, id}) => {
		socket.write(createAnswer(id));
	};

	const server = createServer({allowHalfOpen: true}, (socket) => {
		const connection = opened++;
		connections.add(socket);
		let text = '';
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('end', () => socket.end());
		socket.on('close', () => connections.delete(socket));
		socket.on('data', (chunk) => {
			text += chunk.toString('latin1');
			const end = text.indexOf('\r\n\r\n');
			if (end === -1 || !/^[A-Z]+ /.test(text)) {
				return;
			}

			const head = text.slice(0, end);
			text = '';
			const id = /^request-id: (.*)$/im.exec(head)?.[1] ?? '';
			const request = {socket, connection, head, id};
			requests.push(request);
			behaviour(request);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		requests,
		connections,
		setBehaviour(changed) {
			behaviour = changed;
		},
		async close() {
			for (const socket of connections) {
				socket.destroy();
			}

			server.close();
			await once(server, 'close');
		},
	};
}
