/**
 * When a refused caller should come back.
 *
 * Load pattern: a burst of which a part is refused. Told the same time, all
 * that are refused come back as the next burst, and are refused again. Their
 * returns are spread over the time in which an answer is still of use, and
 * none is earlier than a moment's overload lasts.
 */

/** Milliseconds after which a caller may come back when only a moment is missing. */
export const shortReturn = 300;
/** Callers come back at most after this part of the time that they have left. */
const latestReturn = 1 / 3;

/** Milliseconds until the return, for a fraction drawn from 0 to 1. */
export function returnTime(timeLeft: number, fraction: number): number {
	const latest = Math.max(0, timeLeft) * latestReturn;
	return (
		Math.min(latest, shortReturn) + Math.max(0, latest - shortReturn) * fraction
	);
}
