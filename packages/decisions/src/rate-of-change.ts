/**
 * Limits how fast a control value changes.
 *
 * Load pattern: reports are late, so they show the effect of decisions made a
 * round trip ago. Without a bound the control reacts several times to the same
 * outdated report and overshoots, and goodput oscillates with the period of
 * the reports. Each step is therefore bounded by a ratio of the value per
 * control window, and a window is never shorter than the time after which a
 * step takes effect.
 */

/** The maximum change of a value in one control window, as factors. */
export type ChangeBounds = {
	/** Below 1: the new value is at least the old one times this. */
	down: number;
	/** Above 1: the new value is at most the old one times this. */
	up: number;
};

/**
 * Halving, and growing by half: after an overshoot by a factor of four two
 * windows restore the value, and three undo one step too many.
 */
export const defaultBounds: ChangeBounds = {down: 0.5, up: 1.5};

/** Moves a value towards the wanted one, within the bounds. */
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

/** Updates a cumulative average, which becomes a moving average after `span` values. */
export function updateAverage(
	average: number,
	value: number,
	count: number,
	span: number,
): number {
	return average + (value - average) / Math.min(Math.max(1, count), span);
}
