/** Explains in one line why a node did not start. */
import type {NodeSettings} from './settings.js';

type SystemError = Error & {code?: string; address?: string; port?: number};

/** Explanations of system error codes, for a listener. */
const explanations: Record<string, string> = {
	/* eslint-disable @typescript-eslint/naming-convention -- the system's names. */
	EADDRINUSE: 'is taken by another process; choose another port',
	EADDRNOTAVAIL: 'is no address of this VM; check `ip addr`',
	EACCES: 'may not be used by this user; choose a port above 1023',
	/* eslint-enable @typescript-eslint/naming-convention */
};

/** Returns one line that names the listener and what to do. */
export function explainStartFailure(
	error: unknown,
	{listeners}: NodeSettings,
): string {
	if (!(error instanceof Error)) {
		return `not started: ${String(error)}`;
	}

	const {code = '', address = '', port = 0, message} = error as SystemError;
	const explanation = explanations[code];
	if (!explanation) {
		return `not started: ${message}`;
	}

	const place = `${address}:${port}`;
	const name = Object.entries(listeners).find(([, value]) => value === place);
	return `not started: listeners.${name?.[0] ?? '?'} ${place} ${explanation}`;
}
