/**
 * All that a node does periodically, on one timer.
 *
 * A wake-up of a process with little work costs more than what it then does;
 * with a timer for each period a node would wake some fifteen times a second
 * without a single request.
 */
import type {Clock} from '@egretspoke/shared';

/** Schedules periodic work. */
export type Ticker = {
	/** Acts after each period, in milliseconds; it is rounded up to whole ticks. */
	schedule(period: number, act: () => void): void;
};

/** Milliseconds between two wake-ups. */
export const tickInterval = 200;

type Task = {periodTicks: number; act: () => void};

/** Creates a ticker that runs until the signal aborts. */
export function createTicker(clock: Clock, signal: AbortSignal): Ticker {
	const tasks: Task[] = [];
	let tick = 0;

	const run = () => {
		if (signal.aborted) {
			return;
		}

		tick++;
		for (const task of tasks) {
			if (tick % task.periodTicks === 0) {
				task.act();
			}
		}

		clock.setTimer(tickInterval, run);
	};

	clock.setTimer(tickInterval, run);
	return {
		schedule(period, act) {
			tasks.push({
				periodTicks: Math.max(1, Math.ceil(period / tickInterval)),
				act,
			});
		},
	};
}
