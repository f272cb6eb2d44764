/** The load that a target's node reports with every answer. */
import {z} from 'zod';

export const loadReportSchema = z.object({
	/** Requests running at the target. */
	inFlight: z.number().nonnegative(),
	/** The concurrency limit in force. */
	limit: z.number().nonnegative(),
	/** Requests waiting for a slot. */
	waiting: z.number().nonnegative(),
	/** Milliseconds that the last dispatched request waited in the queue. */
	queueDelay: z.number().nonnegative(),
	/**
	 * The admission level: requests whose priority number (class rank * 128 +
	 * user share) is above it are refused; 383 admits every request.
	 */
	level: z.number(),
	/** The median of recent service times, in milliseconds. */
	serviceTime: z.number().nonnegative(),
});

/** A load report; it may be outdated or incorrect. */
export type LoadReport = z.infer<typeof loadReportSchema>;
