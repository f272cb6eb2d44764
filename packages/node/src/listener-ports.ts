/**
 * Waits until the ports of the listeners are free. A former process may hold
 * them for the seconds of its planned stop while its successor already starts;
 * without the wait the successor would end, and no node would serve.
 *
 * The ports are tried before anything is served, so that a start can still be
 * abandoned without cutting a request.
 */
import {once} from 'node:events';
import {createServer} from 'node:net';
import {parseAddress, sleep, type Clock} from '@egretspoke/shared';

/** A listener whose port is taken. */
export type TakenPort = {
	/** The key of the listener in the settings. */
	listener: string;
	/** `ip:port`. */
	address: string;
	/** Node's message, such as `listen EADDRINUSE`. */
	detail: string;
	/** Milliseconds until the next attempt. */
	retryIn: number;
};

/** Options of the wait. */
export type PortWaitOptions = {
	/** Addresses by the key of the listener; those with port 0 are not tried. */
	listeners: Record<string, string>;
	clock: Clock;
	/** Ends the wait; it then rejects with `StartAbandonedError`. */
	signal: AbortSignal;
	/** Maximum wait in milliseconds. */
	timeout: number;
	/** Called after each failed attempt. */
	onTaken: (taken: TakenPort) => void;
};

/** The start was abandoned on a signal before anything was served. */
export class StartAbandonedError extends Error {
	override name = 'StartAbandonedError';
}

/** Milliseconds before the next attempt; the delay doubles up to the maximum. */
const minRetryDelay = 100;
const maxRetryDelay = 1000;

/** Rejects with Node's error when a port is still taken after the timeout, or can't be used at all. */
export async function waitForPorts(options: PortWaitOptions): Promise<void> {
	const deadline = options.clock.now() + options.timeout;
	for (const [listener, address] of Object.entries(options.listeners)) {
		// eslint-disable-next-line no-await-in-loop -- one port after another.
		await waitForPort(listener, address, deadline, options);
	}
}

async function waitForPort(
	listener: string,
	address: string,
	deadline: number,
	{clock, signal, onTaken}: PortWaitOptions,
): Promise<void> {
	let delay = minRetryDelay;
	for (;;) {
		if (signal.aborted) {
			throw new StartAbandonedError('the start was abandoned');
		}

		// eslint-disable-next-line no-await-in-loop -- one attempt after another.
		const error = await tryPort(address);
		if (!error) {
			return;
		}

		const retryIn = Math.min(delay, deadline - clock.now());
		if (error.code !== 'EADDRINUSE' || retryIn <= 0) {
			throw error;
		}

		onTaken({listener, address, detail: error.message, retryIn});
		// eslint-disable-next-line no-await-in-loop -- the delay before the next attempt.
		await sleep(clock, retryIn, signal);
		delay = Math.min(delay * 2, maxRetryDelay);
	}
}

/** Binds the port and releases it; returns the error of a failed attempt. */
async function tryPort(
	address: string,
): Promise<NodeJS.ErrnoException | undefined> {
	const parsed = parseAddress(address);
	if (!parsed || parsed.port === 0) {
		return undefined;
	}

	const server = createServer((socket) => socket.destroy());
	try {
		server.listen(parsed.port, parsed.host);
		await once(server, 'listening');
	} catch (error) {
		return error as NodeJS.ErrnoException;
	}

	server.close();
	await once(server, 'close');
	return undefined;
}
