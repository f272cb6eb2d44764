/** What a target's node says of its load; it rides on every answer. */
import {z} from 'zod';

export const loadReportSchema = z.object({
	/** Requests running at the target. */
	inFlight: z.number().nonnegative(),
	/** The concurrency limit in force. */
	limit: z.number().nonnegative(),
	/** Requests waiting for a slot. */
	waiting: z.number().nonnegative(),
	/** Milliseconds that the last dispatched request waited. */
	queueDelay: z.number().nonnegative(),
	/**
	 * The admission level: requests whose priority number (class rank * 128 +
	 * user share) is above it are refused; 383 lets everything in.
	 */
	level: z.number(),
	/** The median service time seen lately, in milliseconds. */
	serviceTime: z.number().nonnegative(),
});

/** A load report; it may be late and may be wrong. */
export type LoadReport = z.infer<typeof loadReportSchema>;
