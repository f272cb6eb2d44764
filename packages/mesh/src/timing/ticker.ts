/**
 * Runs all periodic work of a node on one timer.
 *
 * Waking up a mostly idle process costs more than the work that it then does.
 * With a timer for each period, a node without any requests would wake up about
 * fifteen times a second.
 */
import type {Clock} from '@egretspoke/shared';

/** Schedules periodic work. */
export type Ticker = {
	/** Calls `act` once per period, in milliseconds; the period is rounded up to whole ticks. */
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
