/**
 * The connections to one target, each for one request at a time.
 *
 * An answer that states no length ends with its connection, and is whole only
 * if that was closed and not reset; else its caller gets half of it as the
 * whole. Neither the library nor Node tells the two apart: the library takes a
 * reset for an end, and Node reports an end when the last bytes and the reset
 * are read in one turn. So each connection remembers a reset that it saw, and
 * asks the system by a write: a connection that was reset refuses it, one whose
 * other side was closed takes it. What is written, an empty line, no server
 * takes for a request (RFC 9112, section 2.2).
 */
import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';

/** A connection, opened when it is first used. */
export type TargetConnection = {
	dispatch(
		options: Dispatcher.DispatchOptions,
		handler: Dispatcher.DispatchHandler,
	): void;
	/** Says whether its end was an ordinary one; to be asked while it is ending. */
	checkCleanClose(onResult: (wasClosed: boolean) => void): void;
	/** Its request has ended; it may be used again. */
	release(): void;
};

/** The connections. */
export type TargetConnections = {
	/** An idle connection, the one used last, or a new one. */
	take(): TargetConnection;
	/** Closes what is idle now, and the rest as they are released. */
	close(): void;
};

/** Milliseconds for a connection to the same machine; a target that takes longer is down. */
const connectTimeout = 500;
/** Milliseconds that an idle connection is kept when the target names no time of its own. */
const idleTime = 4000;

/** Creates connections to `ip:port`; none is opened yet. */
export function createTargetConnections(address: string): TargetConnections {
	const connector = buildConnector({
		timeout: connectTimeout,
		// Else Node itself refuses all writes after the other side's end.
		allowHalfOpen: true,
	});
	const idle: TargetConnection[] = [];
	const clients = new Map<TargetConnection, Client>();
	let isClosed = false;

	const create = (): TargetConnection => {
		let isReset = false;
		let socket: Socket | undefined;
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			keepAliveTimeout: idleTime,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect(options, callback) {
				isReset = false;
				connector(options, (...result) => {
					// Before the library's own listener, so that it is known when that one ends the answer.
					socket = result[1] ?? undefined;
					socket?.once('error', () => {
						isReset = true;
					});
					callback(...result);
				});
			},
		});
		const connection: TargetConnection = {
			dispatch(options, handler) {
				client.dispatch(options, handler);
			},
			checkCleanClose(onResult) {
				if (isReset || !socket || socket.destroyed) {
					onResult(false);
					return;
				}

				socket.write('\r\n', (error) => {
					onResult(!error);
				});
			},
			release() {
				if (isClosed) {
					clients.delete(connection);
					void client.close();
				} else {
					idle.push(connection);
				}
			},
		};
		clients.set(connection, client);
		return connection;
	};

	return {
		take: () => idle.pop() ?? create(),
		close() {
			isClosed = true;
			for (const connection of idle) {
				void clients.get(connection)?.close();
				clients.delete(connection);
			}

			idle.length = 0;
		},
	};
}
