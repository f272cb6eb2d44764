/** Binds the listeners of a node to their addresses. */
import {once} from 'node:events';
import type {Server} from 'node:net';
import {parseAddress, sleep, type Clock} from '@egretspoke/shared';

/** A listener that is not open yet, and why. */
export type ListenFailure = {
	/** Name of the listener, for the log. */
	listener: string;
	address: string;
	detail: string;
};

/** Options of `listenPersistently`. */
export type ListenOptions = {
	listener: string;
	address: string;
	/** Tries once; rejects with Node's error. */
	listen: (address: string) => Promise<string>;
	clock: Clock;
	/** Ends the attempts. */
	signal: AbortSignal;
	/** Called at the first failure, and then once each `reportInterval`. */
	onFailure: (failure: ListenFailure) => void;
};

/** Maximum connections waiting to be accepted, for bursts of callers that each open a connection. */
const backlog = 4096;
/** Milliseconds between two attempts; doubled up to the maximum. */
const initialPause = 50;
const maxPause = 500;
/** Milliseconds between two reports of a listener that stays closed. */
const reportInterval = 10_000;

/** Errors that end without a change of the settings: a former process holds the port, or the system lacks resources. */
const temporaryErrors: ReadonlySet<unknown> = new Set([
	'EADDRINUSE',
	'EADDRNOTAVAIL',
	'EAGAIN',
	'EMFILE',
	'ENFILE',
	'ENOBUFS',
	'ENOMEM',
]);

/**
 * Listens on `ip:port` and returns the bound address, which differs if the port
 * is 0. Rejects with Node's error, such as EADDRINUSE.
 */
export async function listenOn(
	server: Server,
	address: string,
): Promise<string> {
	const parsed = parseAddress(address);
	if (!parsed) {
		throw new Error(`${address} is not an address`);
	}

	server.listen(parsed.port, parsed.host, backlog);
	await once(server, 'listening');
	const bound = server.address();
	return typeof bound === 'object' && bound
		? `${parsed.host}:${bound.port}`
		: address;
}

/**
 * Listens, and tries again while the error is temporary: the former process may
 * hold its ports until its planned stop is over. Resolves with the bound
 * address, or with undefined if the signal aborts; rejects with any other error.
 */
export async function listenPersistently({
	listener,
	address,
	listen,
	clock,
	signal,
	onFailure,
}: ListenOptions): Promise<string | undefined> {
	let pause = initialPause;
	let reportedAt = Number.NEGATIVE_INFINITY;
	while (!signal.aborted) {
		try {
			// eslint-disable-next-line no-await-in-loop -- one attempt after the other.
			return await listen(address);
		} catch (error) {
			if (!isTemporary(error)) {
				throw error;
			}

			if (clock.now() - reportedAt >= reportInterval) {
				reportedAt = clock.now();
				onFailure({listener, address, detail: (error as Error).message});
			}
		}

		// eslint-disable-next-line no-await-in-loop -- pause between two attempts.
		await sleep(clock, pause, signal);
		pause = Math.min(maxPause, pause * 2);
	}

	return undefined;
}

function isTemporary(error: unknown): boolean {
	return (
		error instanceof Error &&
		temporaryErrors.has((error as NodeJS.ErrnoException).code)
	);
}
