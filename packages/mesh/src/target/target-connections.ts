/** The connection pool of one target; each connection carries one exchange at a time. */
import type {Clock, Timer} from '@egretspoke/shared';
import {
	openTargetConnection,
	type HttpExchange,
	type TargetConnection,
} from './target-connection.js';

/** A pool of connections. */
export type TargetConnections = {
	/** Sends the request over the most recently used idle connection that has not declined it, or over a new one. */
	send(exchange: HttpExchange): void;
	/** Closes idle connections now, and the others when their exchanges end. */
	close(): void;
};

/** Dependencies of a pool. */
export type TargetConnectionsOptions = {
	/** `ip:port`. */
	address: string;
	clock: Clock;
	/** Called when a connection begins to open. */
	onOpen: () => void;
};

/** Creates a pool of connections; none is opened yet. */
export function createTargetConnections({
	address,
	clock,
	onOpen,
}: TargetConnectionsOptions): TargetConnections {
	const url = URL.canParse(`http://${address}`)
		? new URL(`http://${address}`)
		: undefined;
	const idle: TargetConnection[] = [];
	/** Requests that wait until the bytes that have arrived on idle connections are read. */
	let waiting: HttpExchange[] = [];
	let sweepTimer: Timer | undefined;
	let isClosed = false;

	const removeIdle = (connection: TargetConnection) => {
		const index = idle.lastIndexOf(connection);
		if (index !== -1) {
			idle.splice(index, 1);
		}
	};

	const release = (connection: TargetConnection, idleTime: number) => {
		if (isClosed) {
			connection.close();
			return;
		}

		connection.idleUntil = clock.now() + idleTime;
		idle.push(connection);
		sweepTimer ??= clock.setTimer(idleTime, sweep);
	};

	/** Closes the connections that were idle for too long. */
	const sweep = () => {
		sweepTimer = undefined;
		const now = clock.now();
		const expired = idle.filter(({idleUntil}) => idleUntil <= now);
		for (const connection of expired) {
			connection.close();
		}

		if (idle.length > 0) {
			const next = Math.min(...idle.map(({idleUntil}) => idleUntil));
			sweepTimer = clock.setTimer(next - now, sweep);
		}
	};

	const takeIdle = (requestId: string): TargetConnection | undefined => {
		const now = clock.now();
		for (let index = idle.length - 1; index >= 0; index--) {
			const connection = idle[index]!;
			if (connection.idleUntil <= now) {
				connection.close();
			} else if (!connection.hasDeclined(requestId)) {
				idle.splice(index, 1);
				return connection;
			}
		}

		return undefined;
	};

	const sendWaiting = () => {
		const exchanges = waiting;
		waiting = [];
		for (const exchange of exchanges) {
			if (!exchange.isCancelled) {
				const connection = takeIdle(exchange.requestId);
				if (connection) {
					connection.start(exchange);
				} else {
					open(exchange);
				}
			}
		}
	};

	const open = (first: HttpExchange) => {
		if (!url) {
			first.onUnreachable(`invalid address ${address}`);
			return;
		}

		onOpen();
		openTargetConnection(first, {
			host: url.hostname.replaceAll(/[[\]]/g, ''),
			port: url.port === '' ? 80 : Number(url.port),
			clock,
			release,
			removeIdle,
		});
	};

	return {
		send(exchange) {
			if (idle.length === 0) {
				open(exchange);
				return;
			}

			// After a stall, the end of an idle connection or late bytes on it are read in the same iteration of the
			// event loop as the request. Sent at once, the request would be lost with the connection.
			if (waiting.length === 0) {
				setImmediate(sendWaiting);
			}

			waiting.push(exchange);
		},
		close() {
			isClosed = true;
			sweepTimer?.cancel();
			sweepTimer = undefined;
			for (const connection of idle.splice(0)) {
				connection.close();
			}
		},
	};
}
