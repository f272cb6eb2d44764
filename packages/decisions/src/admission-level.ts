/**
 * The admission level: the highest priority number that is admitted while the
 * target is saturated (DAGOR, Zhou et al., SoCC 2018).
 *
 * Load pattern: more work arrives than the slots can run. Without a level each
 * layer refuses different requests, those that happen to wait longest, so that
 * the calls of one request are refused at one service and run at another; the
 * deepest service is fully busy while few whole requests succeed. The priority
 * number is the same at every layer, so all layers refuse the same requests,
 * and upper layers can refuse them first.
 *
 * Once a window the level is computed from the work that arrived by priority
 * number, the available slot time and the queue. Work is measured in slot time
 * (milliseconds for which a request holds a slot), so that long requests count
 * for what they take.
 */
import {limitChange} from './rate-of-change.js';

/** Priority numbers of a class: class rank * 128 + share. */
export const prioritiesPerClass = 128;

/** The level that admits all requests. */
export const maxLevel = 383;

/** The highest priority number of an essential request. */
export const maxEssentialPriority = prioritiesPerClass - 1;

/**
 * The lowest level. A twentieth of the essential band is always admitted, so
 * that there are arrivals from which the level can recover.
 */
export const minLevel = 6;

/**
 * The admitted work may double: while slots are idle there is no queue that an
 * overshoot could lengthen.
 */
const raiseBounds = {down: 1, up: 2};
/** Milliseconds. */
const minWindow = 200;
/** A window is two service times, because a level affects the queue after about one. */
const windowServiceTimes = 2;
/**
 * The desired queue, in service times of all slots. Half a service time covers
 * the random variation of arrivals in a window.
 */
export const desiredQueueTime = 0.5;
/** The unused ratio of slot time above which the target counts as idle. */
const idleThreshold = 0.05;
/** The maximum rise of the level in a window: half a class. */
const maxRise = prioritiesPerClass / 2;
/** The weight of a window in the average demand up to the level. */
const demandWeight = 0.5;
/**
 * Decay per window of the recorded demand above the level: half is left after
 * about three seconds, or after less than one while slots are idle.
 */
const decayAboveLevel = 0.95;
const decayAboveLevelIdle = 0.8;

/** The level of one target. */
export type AdmissionLevel = {
	level: number;
	/** Slot time that arrived in this window, by priority number. */
	arrived: Float64Array;
	/** Slot time that arrives per millisecond, by priority number. */
	demand: Float64Array;
	/** Number of windows in `demand`. */
	windows: number;
	windowStart: number;
	/** Slot time used in this window, and the time up to which it is counted. */
	used: number;
	countedUntil: number;
	/** Requests refused in this window and in the last one, for the retry-after time. */
	refused: number;
	refusedInLastWindow: number;
};

/** The state of the target at the end of a window. */
export type TargetState = {
	/** The current concurrency limit, in slots. */
	limit: number;
	/** The waiting requests. */
	waiting: Iterable<{priority: number; slotTime: number}>;
	/** The average service time, in milliseconds. */
	serviceTime: number;
};

/** Creates a level that admits all requests. */
export function createAdmissionLevel(now: number): AdmissionLevel {
	return {
		level: maxLevel,
		arrived: new Float64Array(maxLevel + 1),
		demand: new Float64Array(maxLevel + 1),
		windows: 0,
		windowStart: now,
		used: 0,
		countedUntil: now,
		refused: 0,
		refusedInLastWindow: 0,
	};
}

/**
 * Records the slot time used since the last call. Must be called before the
 * number of requests in flight changes.
 */
export function recordSlotTime(
	state: AdmissionLevel,
	inFlight: number,
	now: number,
): void {
	state.used += inFlight * (now - state.countedUntil);
	state.countedUntil = now;
}

/** Records an arrival with its expected slot time. */
export function recordArrival(
	state: AdmissionLevel,
	priority: number,
	slotTime: number,
): void {
	state.arrived[priority]! += slotTime;
}

/** Whether the window is over; called for every request. */
export function isWindowOver(
	state: AdmissionLevel,
	serviceTime: number,
	now: number,
): boolean {
	return now - state.windowStart >= windowLength(serviceTime);
}

/** The length of a window in milliseconds. */
export function windowLength(serviceTime: number): number {
	return Math.max(minWindow, windowServiceTimes * serviceTime);
}

/** Computes the level of the next window. */
export function closeLevelWindow(
	state: AdmissionLevel,
	target: TargetState,
	now: number,
): void {
	const elapsed = now - state.windowStart;
	const idle = 1 - state.used / (target.limit * elapsed);
	updateDemand(state, elapsed, idle > idleThreshold);
	state.level =
		idle > idleThreshold
			? levelForIdleSlots(state, idle)
			: levelForSaturation(state, target, elapsed);
	state.arrived.fill(0);
	state.windowStart = now;
	state.used = 0;
	state.refusedInLastWindow = state.refused;
	state.refused = 0;
}

/**
 * Updates the average demand. All demand up to the level arrives here, but
 * upper layers refuse requests above it, so few arrivals there don't mean
 * little demand. The demand recorded while the level was higher therefore
 * decays slowly, and faster while slots are idle.
 */
function updateDemand(
	state: AdmissionLevel,
	elapsed: number,
	isIdle: boolean,
): void {
	const {arrived, demand, level} = state;
	const decay = isIdle ? decayAboveLevelIdle : decayAboveLevel;
	const share = Math.max(demandWeight, 1 / ++state.windows);
	for (let number = 0; number <= maxLevel; number++) {
		const previous = demand[number]!;
		const averaged = previous + (arrived[number]! / elapsed - previous) * share;
		demand[number] =
			number <= level ? averaged : Math.max(averaged, previous * decay);
	}
}

/** The level that admits as much more work as the idle slots can run. */
function levelForIdleSlots(state: AdmissionLevel, idle: number): number {
	const admitted = sumUpTo(state.demand, state.level);
	const allowed = limitChange(
		admitted,
		admitted / (1 - Math.min(idle, 0.9)),
		raiseBounds,
	);
	return raiseLevel(state, allowed - admitted);
}

/** The level at which waiting and expected requests fill the slots and the desired queue. */
function levelForSaturation(
	state: AdmissionLevel,
	{limit, serviceTime, waiting}: TargetState,
	elapsed: number,
): number {
	const desiredQueue = desiredQueueTime * limit * serviceTime;
	const queued = new Float64Array(maxLevel + 1);
	for (const {priority, slotTime} of waiting) {
		queued[priority]! += slotTime;
	}

	const queuedSum = sumUpTo(queued, state.level);
	const admitted = sumUpTo(state.demand, state.level);
	const spare = limit * elapsed + desiredQueue - queuedSum - admitted * elapsed;
	if (spare >= 0) {
		return raiseLevel(state, spare / elapsed);
	}

	if (queuedSum < desiredQueue / 2) {
		return state.level;
	}

	const minAdmitted = limitChange(admitted, 0) * elapsed;
	const allowed = Math.max(minAdmitted, limit * elapsed + desiredQueue);
	let sum = 0;
	for (let number = 0; number <= state.level; number++) {
		sum += state.demand[number]! * elapsed + queued[number]!;
		if (sum > allowed) {
			return Math.max(minLevel, number - 1);
		}
	}

	return state.level;
}

/**
 * Raises the level until the additional demand reaches `more`, in slot time
 * per millisecond. A number without recorded demand counts as the average of
 * the numbers below the level.
 */
function raiseLevel(state: AdmissionLevel, more: number): number {
	if (state.level >= maxLevel || more <= 0) {
		return state.level;
	}

	const density = sumUpTo(state.demand, state.level) / (state.level + 1);
	const last = Math.min(maxLevel, state.level + maxRise);
	let sum = 0;
	for (let number = state.level + 1; number <= last; number++) {
		sum += Math.max(density, state.demand[number]!);
		if (sum > more) {
			return number - 1;
		}
	}

	return last;
}

function sumUpTo(values: Float64Array, level: number): number {
	let sum = 0;
	for (let number = 0; number <= level; number++) {
		sum += values[number]!;
	}

	return sum;
}
