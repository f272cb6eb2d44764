/**
 * The connections to one target, each for one request at a time.
 *
 * The library's own pool doesn't tell which connection an answer came on. It
 * takes a connection that was reset for an answer's end when the answer states
 * no length; such an answer was cut, and its caller would get half of it as
 * the whole. Here each connection remembers whether it was reset.
 */
import {buildConnector, Client, type Dispatcher} from 'undici';

/** A connection, opened when it is first used. */
export type TargetConnection = {
	dispatch(
		options: Dispatcher.DispatchOptions,
		handler: Dispatcher.DispatchHandler,
	): void;
	/** Whether its socket ended with an error. */
	wasReset(): boolean;
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
const connectTime = 500;
/** Milliseconds that an idle connection is kept when the target names no time of its own. */
const idleTime = 4000;

/** Creates connections to `ip:port`; none is opened yet. */
export function createTargetConnections(address: string): TargetConnections {
	const connector = buildConnector({timeout: connectTime});
	const idle: TargetConnection[] = [];
	const clients = new Map<TargetConnection, Client>();
	let isClosed = false;

	const create = (): TargetConnection => {
		let isReset = false;
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			keepAliveTimeout: idleTime,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect(options, callback) {
				isReset = false;
				connector(options, (...result) => {
					// Before the library's own listener, so that it is known when that one ends the answer.
					result[1]?.once('error', () => {
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
			wasReset: () => isReset,
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
