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
 *
 * Thresholds: a window has two rounds of the limit, so that each slot is
 * sampled twice; latency counts as risen at twice the usual, which the mean of
 * so many samples doesn't reach by chance; the floor is a tenth of the slots,
 * so that a target is never starved by its own slowness.
 */

const roundsOfWindow = 2;
const smallestWindow = 32;
const risenFactor = 2;
const trialFactor = 0.8;
/** Latency has followed the limit when it fell by half of the limit's step or more. */
const followedFactor = 1 - (1 - trialFactor) / 2;
const shedFactor = 0.9;
const growthShare = 1 / 16;
const floorShare = 1 / 10;
/** The share by which what is usual moves to a window's mean while nothing is crowded. */
const usualShare = 1 / 4;

type Trial = {from: number; latency: number; skip: number};

/** The limit and what it is learnt from. Latencies are relative to the operation's usual one. */
export type ConcurrencyLimit = {
	slots: number;
	limit: number;
	/** The relative latency of an uncrowded target. */
	usual: number;
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
		usual: 1,
		count: 0,
		sum: 0,
		wasFull: false,
		wasShed: false,
		trial: undefined,
	};
}

/** Learns that all slots of the limit were taken. */
export function noteFull(state: ConcurrencyLimit): void {
	state.wasFull = true;
}

/**
 * Learns that the target refused a request by itself: the limit is too high,
 * once a window. A refusal while the limit is far from reached has another
 * cause, such as a refusal deeper in the chain.
 */
export function noteShed(state: ConcurrencyLimit, inFlight: number): void {
	if (!state.wasShed && inFlight >= state.limit * shedFactor) {
		state.wasShed = true;
		state.trial = undefined;
		state.limit = Math.max(
			floorOf(state),
			Math.floor(state.limit * shedFactor),
		);
	}
}

/** Learns the latency of a request that ended, relative to its operation's usual one. */
export function noteLatency(state: ConcurrencyLimit, relative: number): void {
	if (state.trial && state.trial.skip > 0) {
		state.trial.skip--;
		return;
	}

	state.count++;
	state.sum += relative;
	if (state.count >= Math.max(smallestWindow, roundsOfWindow * state.limit)) {
		closeWindow(state, state.sum / state.count);
		state.count = 0;
		state.sum = 0;
		state.wasFull = false;
		state.wasShed = false;
	}
}

function closeWindow(state: ConcurrencyLimit, mean: number): void {
	if (state.trial) {
		judgeTrial(state, state.trial, mean);
	} else if (state.wasFull && mean > risenFactor * state.usual) {
		state.trial = {from: state.limit, latency: mean, skip: state.limit};
		state.limit = Math.max(
			floorOf(state),
			Math.floor(state.limit * trialFactor),
		);
	} else if (!state.wasShed) {
		state.usual += (mean - state.usual) * usualShare;
		state.limit = Math.min(
			state.slots,
			state.limit + Math.max(1, Math.floor(state.limit * growthShare)),
		);
	}
}

function judgeTrial(state: ConcurrencyLimit, trial: Trial, mean: number): void {
	state.trial = undefined;
	if (mean > trial.latency * followedFactor) {
		state.limit = trial.from;
		state.usual = mean;
	}
}

function floorOf({slots}: ConcurrencyLimit): number {
	return Math.max(1, Math.ceil(slots * floorShare));
}
