/**
 * How fast a control value may move.
 *
 * Load pattern: reports are late, so what is seen now answers what was decided
 * a round trip ago. Without a bound the control acts again and again on the
 * same old news, overshoots, and all load swings from one side to the other;
 * one notices goodput that oscillates with the period of the reports. A step
 * is therefore bounded by a share of the value for each control window, and a
 * window is never shorter than the time after which a step shows.
 */

/** The most that a value may change in one control window, as factors. */
export type ChangeBounds = {
	/** Below 1: the new value is at least the old one times this. */
	down: number;
	/** Above 1: the new value is at most the old one times this. */
	up: number;
};

/**
 * Halving and growing by half: after an overshoot by a factor of four, two
 * windows bring the value back, and three undo a step too many.
 */
export const defaultBounds: ChangeBounds = {down: 0.5, up: 1.5};

/** Moves from the old value towards the wanted one, within the bounds. */
export function limitChange(
	previous: number,
	wanted: number,
	bounds: ChangeBounds = defaultBounds,
): number {
	return Math.min(
		previous * bounds.up,
		Math.max(previous * bounds.down, wanted),
	);
}

/** An average of the values so far that turns into a moving one after `span` values. */
export function updateAverage(
	average: number,
	value: number,
	count: number,
	span: number,
): number {
	return average + (value - average) / Math.min(Math.max(1, count), span);
}
