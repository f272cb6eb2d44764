/**
 * The supervisor tree. A child is one task; a child that fails is restarted
 * alone, after a delay that doubles up to a maximum, while its siblings
 * continue.
 *
 * Without it, an unexpected error in the task of one peer would end the process
 * and cut every request in flight, so that nodes restart because of a single
 * bad peer.
 */
import {setMaxListeners} from 'node:events';
import {sleep, type Clock} from './clock.js';

/** A task runs until its signal aborts; returning early means that its work is done. */
export type Task = (signal: AbortSignal) => Promise<void>;

/** A child's failure, for the log. */
export type ChildFailure = {
	/** The path within the tree, such as `root/peers/vm-17`. */
	path: string;
	error: unknown;
	/** Milliseconds until the restart. */
	restartIn: number;
};

/** A child that failed and has not run healthily since. */
export type FailingChild = {
	path: string;
	/** Consecutive failures. */
	failures: number;
	/** The message of the last one. */
	detail: string;
};

/** A node of the tree that starts and stops children. */
export type Supervisor = {
	/** Aborts when this supervisor stops. */
	signal: AbortSignal;
	/** Starts a task and restarts it when it fails. */
	start(name: string, task: Task): void;
	/** The same for a task that never ends by itself: an early return counts as a failure. */
	startLoop(name: string, loop: Task): void;
	/** The children of this tree that fail at present, for the status. */
	failing(): FailingChild[];
	/** Creates a supervisor below this one, which stops with it. */
	branch(name: string): Supervisor;
	/** Stops one child and waits for its end. */
	stopChild(name: string): Promise<void>;
	/** Stops every child and waits for their ends. */
	stop(): Promise<void>;
};

type Failure = {count: number; detail: string; restartAt: number};

/** What starts the loops of a component. */
export type LoopSupervisor = Pick<Supervisor, 'signal' | 'start' | 'startLoop'>;

const minRestartDelayMs = 50;
const maxRestartDelayMs = 5000;
/** A task that ran longer than this, in milliseconds, counts as healthy, and its delay is reset. */
const healthyRunMs = 10_000;

/** Creates the root of a tree. */
export function createSupervisor(
	clock: Clock,
	onFailure: (failure: ChildFailure) => void,
	path = 'root',
	parent?: AbortSignal,
): Supervisor {
	const stopping = new AbortController();
	const signal = parent
		? AbortSignal.any([parent, stopping.signal])
		: stopping.signal;
	// Every task below listens to this signal; Node reports eleven listeners as a
	// leak.
	setMaxListeners(0, signal);
	const children = new Map<
		string,
		{stop: AbortController; end: Promise<void>}
	>();
	const failures = new Map<string, Failure>();
	const branches: Supervisor[] = [];

	const recordFailure = (name: string, error: unknown, restartIn: number) => {
		const previous = failures.get(name);
		failures.set(name, {
			count: (previous?.count ?? 0) + 1,
			detail: error instanceof Error ? error.message : String(error),
			restartAt: clock.now() + restartIn,
		});
		onFailure({path: `${path}/${name}`, error, restartIn});
	};

	const runWithRestarts = async (
		name: string,
		task: Task,
		childSignal: AbortSignal,
	) => {
		let delay = minRestartDelayMs;
		while (!childSignal.aborted) {
			const startedAt = clock.now();
			try {
				// eslint-disable-next-line no-await-in-loop -- one run after another.
				await task(childSignal);
				return;
			} catch (error) {
				if (childSignal.aborted) {
					return;
				}

				const wasHealthy = clock.now() - startedAt > healthyRunMs;
				delay = wasHealthy
					? minRestartDelayMs
					: Math.min(delay * 2, maxRestartDelayMs);
				if (wasHealthy) {
					failures.delete(name);
				}

				recordFailure(name, error, delay);
				// eslint-disable-next-line no-await-in-loop -- the back-off before the next run.
				await sleep(clock, delay, childSignal);
			}
		}
	};

	const start = (name: string, task: Task) => {
		const stop = new AbortController();
		const childSignal = AbortSignal.any([signal, stop.signal]);
		const run = async () => {
			await runWithRestarts(name, task, childSignal);
			if (children.get(name)?.stop === stop) {
				children.delete(name);
				failures.delete(name);
			}
		};

		children.set(name, {stop, end: run()});
	};

	return {
		signal,
		start,
		startLoop(name, loop) {
			start(name, async (childSignal) => {
				await loop(childSignal);
				if (!childSignal.aborted) {
					throw new Error('the loop ended by itself');
				}
			});
		},
		failing() {
			for (const [name, {restartAt}] of failures) {
				if (clock.now() - restartAt > healthyRunMs) {
					failures.delete(name);
				}
			}

			return [
				...[...failures].map(([name, {count, detail}]) => ({
					path: `${path}/${name}`,
					failures: count,
					detail,
				})),
				...branches.flatMap((branch) => branch.failing()),
			];
		},
		branch(name) {
			const branch = createSupervisor(
				clock,
				onFailure,
				`${path}/${name}`,
				signal,
			);
			branches.push(branch);
			return branch;
		},
		async stopChild(name) {
			const child = children.get(name);
			child?.stop.abort();
			await child?.end;
		},
		async stop() {
			stopping.abort();
			await Promise.all(branches.map(async (branch) => branch.stop()));
			await Promise.all([...children.values()].map(async ({end}) => end));
		},
	};
}
