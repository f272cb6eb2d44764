/**
 * A process that can be frozen and killed, on the run's clock. While it is
 * frozen its timers and its input wait, as under SIGSTOP; the clock goes on.
 */
import type {Clock, Random} from '@egretspoke/shared';

/** Where everything that enters a process passes. */
export type ProcessExecution = {
	/** The clock as the process has it. */
	clock: Clock;
	state(): 'running' | 'frozen' | 'dead';
	/** Runs input now, or after the wake, or never. */
	run(callback: () => void): void;
	/** The same for a result that comes from outside. */
	hold<T>(result: Promise<T>): Promise<T>;
	freeze(): void;
	/** What waited runs in its order, timers before input or after it. */
	thaw(): void;
	kill(): void;
};

type DeferredCallback = {kind: 'timer' | 'input'; callback: () => void};

/** Creates a running process. */
export function createProcessExecution(
	clock: Clock,
	random: Random,
): ProcessExecution {
	let state: 'running' | 'frozen' | 'dead' = 'running';
	let deferred: DeferredCallback[] = [];

	const pass = (kind: DeferredCallback['kind'], callback: () => void) => {
		if (state === 'running') {
			callback();
		} else if (state === 'frozen') {
			deferred.push({kind, callback});
		}
	};

	const run = (callback: () => void) => {
		pass('input', callback);
	};

	return {
		clock: {
			now: () => clock.now(),
			date: () => clock.date(),
			setTimer(delay, callback) {
				let isCancelled = false;
				const timer = clock.setTimer(delay, () => {
					pass('timer', () => {
						if (!isCancelled) {
							callback();
						}
					});
				});
				return {
					cancel() {
						isCancelled = true;
						timer.cancel();
					},
				};
			},
		},
		state: () => state,
		run,
		async hold(result) {
			const value = await result;
			await new Promise<void>((resolve) => {
				run(resolve);
			});
			return value;
		},
		freeze() {
			state = state === 'dead' ? 'dead' : 'frozen';
		},
		thaw() {
			if (state !== 'frozen') {
				return;
			}

			state = 'running';
			const first = random.below(2) === 0 ? 'timer' : 'input';
			const due = deferred;
			deferred = [];
			for (const {kind, callback} of [
				...due.filter((each) => each.kind === first),
				...due.filter((each) => each.kind !== first),
			]) {
				// A turn of its own each, so that what one wakes runs before the next.
				clock.setTimer(0, () => {
					pass(kind, callback);
				});
			}
		},
		kill() {
			state = 'dead';
			deferred = [];
		},
	};
}
