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

/**
 * Creates a ticker that runs until the signal aborts.
 *
 * @param onFailure - Called when a task throws; the other tasks, and its later runs, go on.
 */
export function createTicker(
	clock: Clock,
	signal: AbortSignal,
	onFailure: (error: unknown) => void = rethrowLater,
): Ticker {
	const tasks: Task[] = [];
	let tick = 0;

	const run = () => {
		if (signal.aborted) {
			return;
		}

		tick++;
		for (const task of tasks) {
			if (tick % task.periodTicks === 0) {
				runTask(task);
			}
		}

		clock.setTimer(tickInterval, run);
	};

	const runTask = ({act}: Task) => {
		try {
			act();
		} catch (error) {
			onFailure(error);
		}
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

/** Leaves the error to the process, outside of the tick. */
function rethrowLater(error: unknown): void {
	queueMicrotask(() => {
		throw error;
	});
}
