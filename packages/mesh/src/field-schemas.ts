/** Schemas of fields that other programs state: names, instants and amounts within what their uses can take. */
import {z} from 'zod';

/** Maximum length of a name in characters; the keys of the store have at most 200 bytes. */
const maxName = 200;
/** Above this, sums and products of amounts lose their fractions. */
const maxAmount = 1e12;
/** Maximum characters of a description, which may quote what was sent. */
const maxDetail = 200;
/** Far above the concurrency of any target. */
const maxSlots = 1_000_000;

/**
 * Milliseconds by which the clocks of two machines may differ. A start later than
 * that is no start: nothing that begins afterwards would ever replace it.
 */
export const maxClockDifference = 3_600_000;

/** Maximum of a duration in milliseconds; a timer with a longer one fires at once. */
export const maxDuration = 2 ** 31 - 1;

/** A name that is never empty, such as that of a node or target. */
export const nameSchema = z.string().min(1).max(maxName);

/** The name of a service or data centre, which may be empty. */
export const placeSchema = z.string().max(maxName);

/** Milliseconds since 1970. */
export const instantSchema = z.number().int().nonnegative();

/** A number that increases with each change. */
export const versionSchema = z.number().int().nonnegative();

/** A ratio, a rate or a time, that is not negative. */
export const amountSchema = z.number().min(0).max(maxAmount);

/** A number of a report whose rounding may leave it below 0. */
export const reportedSchema = z.number().min(-maxAmount).max(maxAmount);

/** The requests that a target runs at the same time. */
export const slotsSchema = z.number().int().positive().max(maxSlots);

/** Whether a start in milliseconds since 1970 is later than clocks may differ. */
export function isInFuture(startedAt: number, now: Date): boolean {
	return startedAt > now.getTime() + maxClockDifference;
}

/** Names the first field that a schema refused, and why. */
export function describeIssue({issues: [issue]}: z.ZodError): string {
	const text = issue ? `${issue.path.join('.')}: ${issue.message}` : '';
	return text.slice(0, maxDetail);
}
