/**
 * The HTTP connections of callers at a server, which are ended without losing
 * a request that was accepted.
 *
 * Answers leave a connection in the order of its requests, and nothing can
 * follow an answer that closes it (RFC 9112, section 9.3.2). So only the answer
 * to the last accepted request may close a connection. Requests that arrive
 * behind it are dropped; their sender knows that they have not been processed.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	CallerConnection,
	type CallerConnectionsOptions,
	type CloseCause,
} from './caller-connection.js';
import type {CallerExchange} from './caller-exchange.js';
import {createReadPacer} from './read-pacer.js';

/** The connections of callers. */
export type CallerConnections = {
	/** Registers a request whose headers have arrived; undefined if its connection is closing, and the request is dropped. */
	receive(
		request: IncomingMessage,
		response: ServerResponse,
	): CallerExchange | undefined;
	/**
	 * Ends a connection whose further bytes are no requests, after the answers
	 * to the accepted requests. Returns whether there are none, so that a last
	 * answer may be written before `end`.
	 */
	closeAfterAccepted(socket: Socket, cause: CloseCause): boolean;
	/** Ends a connection after what was written to it. */
	end(socket: Socket): void;
	/**
	 * Keeps connections that are idle open for the changed time, in milliseconds
	 * from now, but not for less than their last answers promised.
	 */
	renewIdleTime(idleTime: number): void;
	/** Number of accepted requests whose answers are not sent. */
	pending(): number;
	/** Number of connections on which everything is sent and that their callers have not closed yet. */
	ending(): number;
	/** Number of requests that are arriving. */
	receiving(): number;
	/** Refuses bodies whose senders have paused or are slow, while the condition holds. */
	refuseStalled(condition: () => boolean): void;
	/** Closes all connections at once. */
	close(): void;
};
/** Tracks the connections of a server that doesn't listen yet. */
export function createCallerConnections(
	server: Server,
	options: CallerConnectionsOptions,
): CallerConnections {
	const connections = new Map<Socket, CallerConnection>();
	const pacer = createReadPacer(options.clock);

	server.on('connection', (socket) => {
		const connection = new CallerConnection(socket, options, pacer, (code) => {
			server.emit(
				'clientError',
				Object.assign(new Error('limit exceeded'), {code}),
				socket,
			);
		});
		connections.set(socket, connection);
		const removeFromBudget = options.budget.add(connection);
		// Node ends the connection by this method after an answer that closes it.
		socket.destroySoon = () => {
			connection.end();
		};

		socket.once('close', () => {
			connections.delete(socket);
			removeFromBudget();
			pacer.remove(connection);
			connection.leave();
		});
	});

	const sum = (count: (connection: CallerConnection) => number) => {
		let total = 0;
		for (const connection of connections.values()) {
			total += count(connection);
		}

		return total;
	};

	return {
		receive(request, response) {
			const connection = connections.get(request.socket);
			if (!connection || connection.isClosing) {
				connection?.drop();
				request.resume();
				return undefined;
			}

			return connection.receive(request, response);
		},
		closeAfterAccepted: (socket, cause) =>
			connections.get(socket)?.closeAfterAccepted(cause) ?? false,
		end(socket) {
			connections.get(socket)?.end();
		},
		renewIdleTime(idleTime) {
			for (const [socket, connection] of connections) {
				if (connection.isBetweenRequests()) {
					socket.setTimeout(Math.max(idleTime, socket.timeout ?? 0));
				}
			}
		},
		pending: () => sum(({unsent}) => unsent.size),
		ending: () => sum(({isEnding}) => (isEnding ? 1 : 0)),
		receiving: () => sum(({arriving}) => arriving),
		refuseStalled(condition) {
			for (const connection of connections.values()) {
				if (!condition()) {
					return;
				}

				connection.refuseStalled();
			}
		},
		close() {
			for (const [socket, connection] of connections) {
				connection.stop();
				socket.destroy();
			}
		},
	};
}
