/**
 * How many requests run at the target at once.
 *
 * Load pattern: a target whose real capacity is below the slots it announced,
 * because its processor or a lock is shared. Without a limit of our own its
 * requests slow each other down: each further one adds waiting inside the
 * target, where nothing can refuse it in time, and one notices a latency that
 * rises with the requests in flight while as many complete as before.
 *
 * Latency alone doesn't tell: it rises as well when something deeper is slow,
 * and a lower limit would then only throw slots away. So a rise starts a
 * trial (after Vegas, Brakmo & Peterson 1995, and the gradient limits built on
 * it): the limit is lowered by a fifth, and if latency falls by at least half
 * of that, the target was crowded and the lower limit stays; if not, the limit
 * comes back and the new latency counts as usual. At saturation with slots as
 * the capacity this costs a fifth of the slots for one window per rise.
 * A window that was full teaches what is usual only as far as chance goes, so
 * that crowding is never taken for usual.
 *
 * Thresholds: a window has two rounds of the limit, so that each slot is
 * sampled twice; latency counts as risen at twice the usual, which the mean of
 * so many samples doesn't reach by chance; the floor is a tenth of the slots,
 * so that a target is never starved by its own slowness.
 */

const windowRounds = 2;
const minWindowSamples = 64;
const risenFactor = 2;
/** Up to here the limit grows; between the two it stays. */
const growthFactor = 1.5;
const trialFactor = 0.8;
/** Latency has followed the limit when it fell by half of the limit's step or more. */
const followedFactor = 1 - (1 - trialFactor) / 2;
const shedFactor = 0.9;
const growthRatio = 1 / 16;
const minLimitRatio = 1 / 10;
/** The share by which what is usual moves to the mean of a window in which slots were left. */
const baselineWeight = 1 / 4;
/** The same for a full window, and how far its mean may lie from what is usual to count as chance. */
const fullBaselineWeight = 1 / 16;
const noiseRatio = 1 / 4;

type Trial = {
	/** The limit before the first of the trials in a row. */
	from: number;
	latency: number;
	/** Ends of requests that began before the trial. */
	skip: number;
};

/** The limit and what it is learnt from. Latencies are those of the reference operation, in milliseconds. */
export type ConcurrencyLimit = {
	slots: number;
	limit: number;
	/** The latency of an uncrowded target; 0 while nothing is known. */
	baseline: number;
	count: number;
	sum: number;
	wasFull: boolean;
	wasShed: boolean;
	trial: Trial | undefined;
};

/** Starts at the announced slots. */
export function createConcurrencyLimit(slots: number): ConcurrencyLimit {
	return {
		slots,
		limit: slots,
		baseline: 0,
		count: 0,
		sum: 0,
		wasFull: false,
		wasShed: false,
		trial: undefined,
	};
}

/** Learns that all slots of the limit were taken. */
export function recordFull(state: ConcurrencyLimit): void {
	state.wasFull = true;
}

/**
 * Learns that the target refused a request by itself: the limit is too high,
 * once a window. A refusal while the limit is far from reached has another
 * cause, such as a refusal deeper in the chain.
 */
export function recordShed(state: ConcurrencyLimit, inFlight: number): void {
	if (!state.wasShed && inFlight >= state.limit * shedFactor) {
		state.wasShed = true;
		state.trial = undefined;
		state.limit = Math.max(
			minLimitOf(state),
			Math.floor(state.limit * shedFactor),
		);
	}
}

/** Learns the latency of a request that ended, brought to the reference operation. */
export function recordLatency(state: ConcurrencyLimit, latency: number): void {
	if (state.trial && state.trial.skip > 0) {
		state.trial.skip--;
		return;
	}

	state.count++;
	state.sum += latency;
	if (state.count >= Math.max(minWindowSamples, windowRounds * state.limit)) {
		closeWindow(state, state.sum / state.count);
		state.count = 0;
		state.sum = 0;
		state.wasFull = false;
		state.wasShed = false;
	}
}

function closeWindow(state: ConcurrencyLimit, mean: number): void {
	state.baseline ||= mean;
	if (state.trial) {
		evaluateTrial(state, state.trial, mean);
		return;
	}

	if (state.wasFull && mean > risenFactor * state.baseline) {
		startTrial(state, state.limit, mean);
		return;
	}

	// A crowded window doesn't teach what an uncrowded one is like.
	if (!state.wasFull) {
		state.baseline += (mean - state.baseline) * baselineWeight;
	} else if (Math.abs(mean - state.baseline) < noiseRatio * state.baseline) {
		state.baseline += (mean - state.baseline) * fullBaselineWeight;
	} else {
		state.baseline = Math.min(state.baseline, mean);
	}

	if (!state.wasShed && mean <= growthFactor * state.baseline) {
		state.limit = Math.min(
			state.slots,
			state.limit + Math.max(1, Math.floor(state.limit * growthRatio)),
		);
	}
}

function startTrial(
	state: ConcurrencyLimit,
	from: number,
	latency: number,
): void {
	state.trial = {from, latency, skip: state.limit};
	state.limit = Math.max(
		minLimitOf(state),
		Math.floor(state.limit * trialFactor),
	);
}

/** Goes on lowering while latency follows and is still risen; a trial that fails undoes all before it. */
function evaluateTrial(
	state: ConcurrencyLimit,
	{from, latency}: Trial,
	mean: number,
): void {
	state.trial = undefined;
	if (mean > latency * followedFactor) {
		state.limit = from;
		state.baseline = mean;
	} else if (mean > risenFactor * state.baseline) {
		startTrial(state, from, mean);
	}
}

function minLimitOf({slots}: ConcurrencyLimit): number {
	return Math.max(1, Math.ceil(slots * minLimitRatio));
}
