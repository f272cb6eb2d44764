/**
 * The connection pool of one target; each connection carries one request at a
 * time.
 *
 * An answer without a length ends with its connection and is complete only if
 * that was closed, not reset; otherwise a truncated answer would pass as whole.
 */
import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';

/** A connection, opened on first use. */
export type TargetConnection = {
	dispatch(
		options: Dispatcher.DispatchOptions,
		handler: Dispatcher.DispatchHandler,
	): void;
	/** Checks whether the connection was closed without a reset; to be called while it is ending. */
	checkCleanClose(onResult: (wasClosed: boolean) => void): void;
	/** Returns the connection to the pool after its request has ended. */
	release(): void;
};

/** A pool of connections. */
export type TargetConnections = {
	/** Takes the most recently used idle connection, or creates one. */
	take(): TargetConnection;
	/** Closes idle connections now, and the others when they are released. */
	close(): void;
};

/** Timeout for connecting to the local machine, in milliseconds; a target that takes longer is down. */
const connectTimeout = 500;
/** Keep-alive timeout of an idle connection, in milliseconds, unless the target sends one. */
const idleTime = 4000;

/** Creates a pool of connections to `ip:port`; none is opened yet. */
export function createTargetConnections(address: string): TargetConnections {
	const connector = buildConnector({
		timeout: connectTimeout,
		// Otherwise Node rejects all writes after the other side has ended.
		allowHalfOpen: true,
	});
	const idle: TargetConnection[] = [];
	const clients = new Map<TargetConnection, Client>();
	let isClosed = false;

	const create = (): TargetConnection => {
		// Resets are recorded here, because `undici` treats a reset as an end. Node itself reports an end when the
		// last bytes and the reset are read in the same tick, so `checkCleanClose` also probes with a write.
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
					// Registered before `undici`'s own listener, so that the reset is recorded before that one ends the answer.
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

				// The write fails after a reset, but succeeds if the other side closed.
				// Servers ignore an empty line (RFC 9112, section 2.2).
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
