/**
 * Runs one node as a process: starts it, stops it on a signal, and ends the
 * process with a line and a code when a start, a stop or anything without an
 * owner fails. Without it, such a failure would leave a process that neither
 * serves nor ends, or cut every request in flight without a planned stop.
 */
import {sleep, type Clock} from '@egretspoke/shared';
import {StartAbandonedError} from './listener-ports.js';
import type {RunningNode} from './start-node.js';

/** 0: stopped as planned; 1: settings or start refused, or requests were cut; 2: usage; 3: an internal failure. */
export const exitCodes = {done: 0, refused: 1, usage: 2, failed: 3} as const;

type ProcessEvent =
	'SIGTERM' | 'SIGINT' | 'SIGHUP' | 'uncaughtException' | 'unhandledRejection';

/** The process that the node runs in. */
export type ProcessHost = {
	on(event: ProcessEvent, listener: (value: unknown) => void): void;
	/** Writes a line to standard error. */
	writeError(line: string): void;
	exit(code: number): void;
};

/** What runs in the process. */
export type NodeProcessOptions = {
	host: ProcessHost;
	clock: Clock;
	/** Starts the node; the signal abandons a start that waits for its ports. */
	start: (abandoned: AbortSignal) => Promise<RunningNode>;
	/** Explains a failed start in one line. */
	explainStartFailure: (error: unknown) => string;
	/** Maximum duration of a planned stop in milliseconds. */
	drainTime: number;
};

/** Milliseconds that a stop may take beyond the drain time: to notify the platform and the members, and to close listeners and connections. */
export const stopMargin = 6000;

/** Maximum number of failures that are written; more add nothing while the node stops. */
const maxReportedFailures = 10;

/** Starts the node and installs the handlers of signals and failures. */
export async function runNodeProcess(
	options: NodeProcessOptions,
): Promise<void> {
	const {host, clock, drainTime} = options;
	const abandoned = new AbortController();
	let isStopping = false;
	let failures = 0;

	/** Resolves with undefined when a failed start ends the process. */
	const startOrExit = async (): Promise<RunningNode | undefined> => {
		try {
			return await options.start(abandoned.signal);
		} catch (error) {
			if (error instanceof StartAbandonedError) {
				host.exit(failures > 0 ? exitCodes.failed : exitCodes.done);
			} else {
				host.writeError(options.explainStartFailure(error));
				host.exit(exitCodes.refused);
			}

			return undefined;
		}
	};

	const started = startOrExit();

	const stopStarted = async (stop: (node: RunningNode) => Promise<number>) => {
		const node = await started;
		const cut = node ? await stop(node) : 0;
		if (failures > 0) {
			host.exit(exitCodes.failed);
		} else if (node) {
			host.exit(cut === 0 ? exitCodes.done : exitCodes.refused);
		}
	};

	const failAfter = async (timeout: number): Promise<never> => {
		await sleep(clock, timeout);
		throw new Error(`it took longer than ${timeout} ms`);
	};

	/** Ends the process, whether the stop succeeds, fails or hangs. */
	const endAfter = async (
		stop: (node: RunningNode) => Promise<number>,
		timeout: number,
	) => {
		isStopping = true;
		abandoned.abort();
		try {
			await Promise.race([stopStarted(stop), failAfter(timeout)]);
		} catch (error) {
			host.writeError(`the stop failed: ${describeFailure(error)}`);
			host.exit(exitCodes.failed);
		}
	};

	const drain = async () =>
		endAfter(async (node) => node.drain(), drainTime + stopMargin);

	const stopAtOnce = async () =>
		endAfter(async (node) => {
			const cut = await node.stop();
			host.writeError(
				`stopped at once on a second signal; ${cut} requests cut`,
			);
			return Math.max(cut, 1);
		}, stopMargin);

	/** The first signal drains; a second one stops immediately and prints the number of cut requests. */
	const onSignal = () => {
		void (isStopping ? stopAtOnce() : drain());
	};

	/** Requests in flight are finished, because a failure of one part seldom affects them. */
	const onFailure = (error: unknown) => {
		if (++failures <= maxReportedFailures) {
			host.writeError(`failed: ${describeFailure(error)}`);
		}

		if (!isStopping) {
			void drain();
		}
	};

	host.on('SIGTERM', onSignal);
	host.on('SIGINT', onSignal);
	host.on('SIGHUP', () => {
		host.writeError('SIGHUP ignored; settings are read at the start only');
	});
	host.on('uncaughtException', onFailure);
	host.on('unhandledRejection', onFailure);
	await started;
}

function describeFailure(error: unknown): string {
	return error instanceof Error
		? (error.stack ?? error.message)
		: String(error);
}
