/** Tracks which parts of a node have failed lately, so that a readiness check can tell. */
import type {Clock} from '@egretspoke/shared';

/** The parts of a node that have failed lately. */
export type FailingParts = {
	/** Records a failure; returns false if one of the part was recorded within the last `quietTime`. */
	record(part: string): boolean;
	/** Names of the parts that have failed within the last `failingTime`. */
	list(): string[];
};

/** Milliseconds after its last failure for which a part counts as failing; longer than the longest pause before a restart. */
export const failingTime = 10_000;
/** Milliseconds after a reported failure within which those of the same part need no line of their own. */
export const quietTime = 10_000;

/** Creates a record without failures. */
export function createFailingParts(clock: Clock): FailingParts {
	const failures = new Map<string, {lastAt: number; reportedAt: number}>();
	return {
		record(part) {
			const now = clock.now();
			const reportedAt = failures.get(part)?.reportedAt;
			const isQuiet = reportedAt !== undefined && now - reportedAt < quietTime;
			failures.set(part, {lastAt: now, reportedAt: isQuiet ? reportedAt : now});
			return !isQuiet;
		},
		list() {
			const now = clock.now();
			return [...failures]
				.filter(([, {lastAt}]) => now - lastAt < failingTime)
				.map(([part]) => part);
		},
	};
}
