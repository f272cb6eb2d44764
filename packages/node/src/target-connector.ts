/** Opens the connections to the local target, and watches how they end. */
import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

/** The connections of one client. */
export type TargetConnector = {
	connect: buildConnector.connector;
	/**
	 * Whether a connection is being ended by the target without a reset; true only
	 * while the end is handled, when a response without a length completes.
	 */
	isEnding(): boolean;
};

/** Creates a connector; `limit` is the size in bytes of the largest response. */
export function createTargetConnector(limit: number): TargetConnector {
	// Otherwise Node rejects all writes after the other side has ended.
	const connect = buildConnector({allowHalfOpen: true, keepAlive: true});
	let isEnding = false;

	const watchEnd = (socket: Socket) => {
		socket.on('end', () => {
			isEnding = !isReset(socket);
			queueMicrotask(() => {
				isEnding = false;
			});
		});
	};

	return {
		connect(options, callback) {
			connect(options, (...result) => {
				const [, socket] = result;
				if (socket) {
					limitResponses(socket, limit);
					watchEnd(socket);
				}

				callback(...result);
			});
		},
		isEnding: () => isEnding,
	};
}

/**
 * Closes the connection once more bytes have arrived since the last write than a
 * response within the limits needs; otherwise a target that writes without end
 * keeps this node busy until the request's deadline.
 */
function limitResponses(socket: Socket, limit: number): void {
	let written = 0;
	let readBefore = 0;
	let readAtWrite = 0;
	socket.on('readable', () => {
		if (socket.bytesWritten !== written) {
			written = socket.bytesWritten;
			readAtWrite = readBefore;
		}

		readBefore = socket.bytesRead;
		if (readBefore - readAtWrite > limit) {
			socket.destroy(new Error('the response does not end'));
		}
	});
}

/**
 * Whether a connection that seems to have ended was reset: Node reports an end
 * when the last bytes and the reset are read in the same tick. A write fails at
 * once after a reset, but not if the other side closed. Servers ignore an empty
 * line (RFC 9112, section 2.2). While the request is still being written, a
 * further write only waits behind it, so that a reset can't be told.
 */
function isReset(socket: Socket): boolean {
	if (socket.writableLength > 0) {
		return true;
	}

	socket.write('\r\n');
	return socket.errored !== null;
}
