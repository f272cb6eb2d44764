/**
 * Execution of a simulated process that can be frozen and killed. While it is
 * frozen, its timers and input are deferred and the clock advances, as under
 * SIGSTOP.
 */
import type {Clock, Random} from '@egretspoke/shared';

/** Controls the timers and the input of a process. */
export type ProcessExecution = {
	/** The clock of the process; its timers are deferred while it is frozen. */
	clock: Clock;
	state(): 'running' | 'frozen' | 'dead';
	/** Runs input now, after `thaw` if frozen, or never if killed. */
	run(callback: () => void): void;
	/** Delivers an external result in the same way. */
	hold<T>(result: Promise<T>): Promise<T>;
	freeze(): void;
	/** Runs deferred callbacks in order, either all timers before all input or after it. */
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
				// A separate timer for each, so that its continuations run before the next callback.
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
