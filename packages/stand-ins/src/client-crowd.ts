/** Clients that exceed limits: what each of them sends, and a crowd of them over TCP. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {connect, type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';

/** What a client sends on one connection. */
export type ClientScript = {
	/** Sent first, in Latin-1. */
	opening: string;
	/** Sent behind it again and again. */
	repeated?: Uint8Array | undefined;
	/** How often; without end by default. */
	times?: number;
	/** Whether it reads what is sent to it; true by default. */
	reads?: boolean;
};

/** How a request to a listener begins. */
export type RequestShape = {
	host: string;
	/** Path of a request with a body, and of one without. */
	upload: string;
	read: string;
	/** Lines of its head. */
	lines: string[];
};

/** Clients of one listener. */
export type CrowdOptions = {
	host: string;
	port: number;
	clients: number;
	script: ClientScript;
};

/** A running crowd. */
export type Crowd = {
	/** Resolves when the server has closed all connections, or after the time, in milliseconds. */
	play(time: number): Promise<void>;
	/** Number of connections that are open, without those of clients that don't read and so don't notice. */
	open(): number;
	/** Closes the connections that are open. */
	close(): void;
};

/** Bytes of a buffer that is sent again and again. */
const repeatedBytes = 64 * 1024;

/** What a connection to a listener for HTTP can send outside the limits. */
export const clientScripts = {
	/** A chunked body in chunks of one byte that stops before its end. */
	tinyChunks: (shape) => ({
		opening: writeHead(shape, 'POST', ['Transfer-Encoding: chunked']),
		repeated: repeat('1\r\nx\r\n'),
		times: 14,
	}),
	/** A chunked body in large chunks that stops before its end. */
	largeChunks: (shape) => ({
		opening: writeHead(shape, 'POST', ['Transfer-Encoding: chunked']),
		repeated: Buffer.from(
			`${repeatedBytes.toString(16)}\r\n${'x'.repeat(repeatedBytes)}\r\n`,
		),
		times: 60,
	}),
	/** A body whose last byte is missing. */
	shortBody: (shape) => ({
		opening: writeHead(shape, 'POST', ['Content-Length: 851969']),
		repeated: Buffer.alloc(repeatedBytes, 'x'),
		times: 13,
	}),
	/** A body of which nothing arrives. */
	missingBody: (shape) => ({
		opening: writeHead(shape, 'POST', ['Content-Length: 400000']),
	}),
	/** A head of 200 KB that does not end. */
	longHead: (shape) => ({
		opening: `${beginHead(shape, 'GET')}Note: `,
		repeated: Buffer.alloc(50_000, 'x'),
		times: 4,
	}),
	/** A head of 60,000 empty fields that does not end. */
	emptyFields: (shape) => ({
		opening: beginHead(shape, 'GET'),
		repeated: Buffer.from('a:\r\n'.repeat(10_000)),
		times: 6,
	}),
	/** A head of 12 KB in short fields that does not end. */
	shortFields: (shape) => ({
		opening: beginHead(shape, 'GET'),
		repeated: Buffer.from('ab:cd\r\n'.repeat(1700)),
		times: 1,
	}),
	/** Empty lines before a request, without end. */
	emptyLines: () => ({opening: '', repeated: repeat('\r\n')}),
	/** The same with bare line feeds. */
	emptyLineFeeds: () => ({opening: '', repeated: repeat('\n')}),
	/** Empty lines without end behind a whole request. */
	emptyLinesBehind: (shape) => ({
		opening: writeHead(shape, 'GET', []),
		repeated: repeat('\r\n'),
	}),
	endlessTarget: () => ({opening: 'GET /', repeated: repeat('x')}),
	endlessHead: (shape) => ({
		opening: beginHead(shape, 'GET'),
		repeated: repeat('Note: text\r\n'),
	}),
	endlessValue: (shape) => ({
		opening: `${beginHead(shape, 'GET')}Note:`,
		repeated: repeat(' '),
	}),
	endlessExtension: (shape) => ({
		opening: `${writeHead(shape, 'POST', ['Transfer-Encoding: chunked'])}1;`,
		repeated: repeat('x'),
	}),
	endlessChunkSize: (shape) => ({
		opening: writeHead(shape, 'POST', ['Transfer-Encoding: chunked']),
		repeated: repeat('0'),
	}),
	endlessTrailer: (shape) => ({
		opening: `${writeHead(shape, 'POST', ['Transfer-Encoding: chunked'])}0\r\n`,
		repeated: repeat('Note: text\r\n'),
	}),
	/** A chunked body without end. */
	endlessBody: (shape) => ({
		opening: writeHead(shape, 'POST', ['Transfer-Encoding: chunked']),
		repeated: Buffer.from(
			`${repeatedBytes.toString(16)}\r\n${'x'.repeat(repeatedBytes)}\r\n`,
		),
	}),
	/** A body without end for a host that no route names. */
	endlessRefusedBody: (shape) => ({
		opening: writeHead({...shape, host: 'unknown.example'}, 'POST', [
			'Transfer-Encoding: chunked',
		]),
		repeated: Buffer.from(
			`${repeatedBytes.toString(16)}\r\n${'x'.repeat(repeatedBytes)}\r\n`,
		),
	}),
	/** Requests without end whose answers are not read. */
	requestsAhead: (shape) => ({
		opening: '',
		repeated: repeat(writeHead(shape, 'GET', [])),
		reads: false,
	}),
	/** Forty requests whose answers are not read. */
	unreadAnswers: (shape) => ({
		opening: writeHead(shape, 'GET', []).repeat(40),
		reads: false,
	}),
	/** Nothing. */
	silent: () => ({opening: ''}),
} satisfies Record<string, (shape: RequestShape) => ClientScript>;

/** Name of a kind of client. */
export type ClientKind = keyof typeof clientScripts;

/** A WebSocket message in fragments of one byte that stops before its end. */
export function createTinyFragments(path: string, host: string): ClientScript {
	const key = randomBytes(16).toString('base64');
	// Masked with zeros: a binary frame that begins a message, then continuations.
	const begin = String.fromCodePoint(0x02, 0x81, 0, 0, 0, 0, 0x78);
	const next = Buffer.from([0x00, 0x81, 0, 0, 0, 0, 0x78]);
	return {
		opening:
			`GET ${path} HTTP/1.1\r\nHost: ${host}\r\nConnection: Upgrade\r\n` +
			`Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: ${key}\r\n\r\n${begin}`,
		repeated: Buffer.concat(Array.from({length: 9000}, () => next)),
		times: 20,
	};
}

/** Opens the connections. */
export function startCrowd({host, port, clients, script}: CrowdOptions): Crowd {
	const members = Array.from({length: clients}, () =>
		startClient(connect(port, host), script),
	);
	return {
		async play(time) {
			await Promise.race([
				Promise.all(members.map(async ({closed}) => closed)),
				pause(time),
			]);
		},
		open: () =>
			script.reads === false
				? 0
				: members.filter(({socket}) => !socket.connecting && !socket.closed)
						.length,
		close() {
			for (const {socket} of members) {
				socket.destroy();
			}
		},
	};
}

type Client = {socket: Socket; closed: Promise<void>};

function startClient(socket: Socket, script: ClientScript): Client {
	const closed = new Promise<void>((resolve) => {
		socket.once('close', () => {
			resolve();
		});
	});
	socket.once('connect', () => {
		socket.write(script.opening, 'latin1');
		sendRepeated(socket, script);
	});
	// Each error is followed by a close.
	socket.on('error', () => undefined);
	if (script.reads ?? true) {
		socket.resume();
	}

	return {socket, closed};
}

/** Sends as fast as the server reads. */
function sendRepeated(
	socket: Socket,
	{repeated, times = Number.POSITIVE_INFINITY}: ClientScript,
): void {
	if (!repeated) {
		return;
	}

	let left = times;
	const send = () => {
		for (; left > 0; left--) {
			if (socket.destroyed) {
				return;
			}

			if (socket.writableNeedDrain) {
				socket.once('drain', send);
				return;
			}

			socket.write(repeated);
		}
	};

	send();
}

function repeat(text: string): Uint8Array {
	return Buffer.from(text.repeat(Math.ceil(repeatedBytes / text.length)));
}

function beginHead(shape: RequestShape, method: 'GET' | 'POST'): string {
	const path = method === 'GET' ? shape.read : shape.upload;
	return [
		`${method} ${path} HTTP/1.1`,
		`Host: ${shape.host}`,
		...shape.lines,
		'',
	].join('\r\n');
}

function writeHead(
	shape: RequestShape,
	method: 'GET' | 'POST',
	lines: string[],
): string {
	return `${beginHead(shape, method)}${[...lines, '', ''].join('\r\n')}`;
}
