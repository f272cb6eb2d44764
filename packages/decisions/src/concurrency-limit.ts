/**
 * Limits the number of requests that run at the target at once.
 *
 * Load pattern: the target's real capacity is below its announced slots,
 * because a processor or a lock is shared. Each further request only adds
 * waiting inside the target, where it can't be refused in time: latency rises
 * with the requests in flight while throughput stays the same.
 *
 * Latency also rises when a downstream service is slow, and a lower limit
 * would then only waste slots. A rise therefore starts a trial (after Vegas,
 * Brakmo & Peterson 1995, and the gradient limits built on it): the limit is
 * lowered by a fifth. If latency falls by at least half of that, the target
 * was crowded and the lower limit stays; if not, the limit is restored and the
 * new latency becomes the baseline. When the slots are the real capacity, this
 * costs a fifth of the slots for one window per rise.
 */

/** A window has two rounds of the limit, so that each slot is sampled twice. */
const windowRounds = 2;
const minWindowSamples = 64;
/**
 * Latency counts as risen at twice the baseline; the mean of a window doesn't
 * reach that by chance.
 */
const risenFactor = 2;
/** Up to this factor the limit grows; between the two factors it stays. */
const growthFactor = 1.5;
const trialFactor = 0.8;
/** Latency has followed the limit when it fell by at least half of the limit's step. */
const followedFactor = 1 - (1 - trialFactor) / 2;
const shedFactor = 0.9;
const growthRatio = 1 / 16;
/** The minimum limit is a tenth of the slots, so that a slow target still gets work. */
const minLimitRatio = 1 / 10;
/** The weight of a window with free slots in the baseline. */
const baselineWeight = 1 / 4;
/**
 * The weight of a full window, and the maximum relative deviation of its mean
 * that counts as noise. A larger fall is applied at once; a larger rise is
 * ignored, so that crowding never becomes the baseline.
 */
const fullBaselineWeight = 1 / 16;
const noiseRatio = 1 / 4;

type Trial = {
	/** The limit before the first of several consecutive trials. */
	from: number;
	latency: number;
	/** Number of requests still to be ignored because they began before the trial. */
	skip: number;
};

/**
 * The limit and the statistics behind it. Latencies are those of the reference
 * operation, in milliseconds.
 */
export type ConcurrencyLimit = {
	slots: number;
	limit: number;
	/** The latency of an uncrowded target; 0 while it is unknown. */
	baseline: number;
	count: number;
	sum: number;
	wasFull: boolean;
	wasShed: boolean;
	trial: Trial | undefined;
};

/** Creates a limit equal to the announced slots. */
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

/** Records that all slots of the limit were taken. */
export function recordFull(state: ConcurrencyLimit): void {
	state.wasFull = true;
}

/**
 * Records that the target refused a request itself and lowers the limit, at
 * most once a window. A refusal far below the limit has another cause, such as
 * a refusal of a downstream service.
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

/** Records the latency of a request that ended, scaled to the reference operation. */
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

	// A crowded window must not raise the baseline.
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

/**
 * Continues to lower the limit while latency follows and is still risen. A
 * failed trial restores the limit from before the first one.
 */
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
