/**
 * The admission level: the highest priority number that is let in while the
 * target is saturated (DAGOR, Zhou et al., SoCC 2018).
 *
 * Load pattern: more work arrives than the slots can run. Without a level the
 * queue refuses whichever request happens to wait longest, each layer another
 * one, so that the calls of one request are refused here and run there; one
 * notices a deepest service that is fully busy while few whole requests end
 * well. A priority number that is the same at every layer makes all layers
 * refuse the same requests, and lets the layers above refuse them first.
 *
 * The level is set once a window from three measured quantities: the work that
 * arrived by priority number, the slot time that the window offered, and the
 * queue. Work is counted in slot time (milliseconds for which a request holds
 * a slot), so that long requests count for what they take.
 *
 * Thresholds: a window is two service times, since the effect of a level shows
 * in the queue after about one; the queue aimed at is half a service time of
 * all slots, which covers the chance variation of arrivals in a window; a
 * target is idle to a purpose when more than a twentieth of its slot time was
 * unused.
 */
import {limitChange} from './rate-of-change.js';

/** Numbers for each class: class rank * 128 + share. */
export const prioritiesPerClass = 128;

/** The level that lets everything in. */
export const maxLevel = 383;

/** The highest priority number of an essential request. */
export const maxEssentialPriority = prioritiesPerClass - 1;

/** The lowest level: a twentieth of the essential band is never shut, so that the level can be learnt anew. */
export const minLevel = 6;

/** Opening may double: while slots are idle there is no queue that an overshoot could lengthen. */
const raiseBounds = {down: 1, up: 2};
const minWindow = 200;
const windowServiceTimes = 2;
/** The queue aimed at, in service times. */
export const desiredQueueTime = 0.5;
const idleThreshold = 0.05;
/** The most by which the level rises in a window: half a class. */
const maxRise = prioritiesPerClass / 2;
/** The weight of a window in the demand up to the level. */
const demandWeight = 0.5;
/** What is kept a window of the demand known above the level: half after about three seconds, and after less than one while slots are idle. */
const decayAboveLevel = 0.95;
const decayAboveLevelIdle = 0.8;

/** The state of one target's level. */
export type AdmissionLevel = {
	level: number;
	/** Slot time that arrived in this window, by priority number. */
	arrived: Float64Array;
	/** Slot time that arrives a millisecond, by priority number. */
	demand: Float64Array;
	/** Windows that `demand` was learnt from. */
	windows: number;
	windowStart: number;
	/** Slot time used in this window, and until when it is counted. */
	used: number;
	countedUntil: number;
	/** Refused in the window, and before it, for the come-back time. */
	refused: number;
	refusedInLastWindow: number;
};

/** What the target looks like when a window closes. */
export type TargetState = {
	/** Slots in force. */
	limit: number;
	/** What waits. */
	waiting: Iterable<{priority: number; slotTime: number}>;
	/** The average service time. */
	serviceTime: number;
};

/** Creates an open level. */
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

/** Counts the slot time used since the last call; to be called before the requests in flight change. */
export function recordSlotTime(
	state: AdmissionLevel,
	inFlight: number,
	now: number,
): void {
	state.used += inFlight * (now - state.countedUntil);
	state.countedUntil = now;
}

/** Counts an arrival with the slot time that it will take. */
export function recordArrival(
	state: AdmissionLevel,
	priority: number,
	slotTime: number,
): void {
	state.arrived[priority]! += slotTime;
}

/** Whether the window is over; cheap enough for every call. */
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

/** Sets the level for the next window. */
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
 * Up to the level all demand arrives here. Above it the layers above refuse,
 * so that few arrivals there don't mean little demand: what was seen when the
 * level was higher is forgotten slowly, faster while slots are idle.
 */
function updateDemand(
	state: AdmissionLevel,
	elapsed: number,
	isIdle: boolean,
): void {
	const {arrived, demand, level} = state;
	const kept = isIdle ? decayAboveLevelIdle : decayAboveLevel;
	const share = Math.max(demandWeight, 1 / ++state.windows);
	for (let number = 0; number <= maxLevel; number++) {
		const known = demand[number]!;
		const moved = known + (arrived[number]! / elapsed - known) * share;
		demand[number] = number <= level ? moved : Math.max(moved, known * kept);
	}
}

/** The level that lets in as much more as slots were idle. */
function levelForIdleSlots(state: AdmissionLevel, idle: number): number {
	const admitted = sumUpTo(state.demand, state.level);
	const wanted = limitChange(
		admitted,
		admitted / (1 - Math.min(idle, 0.9)),
		raiseBounds,
	);
	return raise(state, wanted - admitted);
}

/** The level up to which what waits and what will arrive fills the slots and the aimed queue. */
function levelForSaturation(
	state: AdmissionLevel,
	{limit, serviceTime, waiting}: TargetState,
	elapsed: number,
): number {
	const aimed = desiredQueueTime * limit * serviceTime;
	const queued = new Float64Array(maxLevel + 1);
	for (const {priority, slotTime} of waiting) {
		queued[priority]! += slotTime;
	}

	const queuedSum = sumUpTo(queued, state.level);
	const admitted = sumUpTo(state.demand, state.level);
	const spare = limit * elapsed + aimed - queuedSum - admitted * elapsed;
	if (spare >= 0) {
		return raise(state, spare / elapsed);
	}

	if (queuedSum < aimed / 2) {
		return state.level;
	}

	const least = limitChange(admitted, 0) * elapsed;
	const wanted = Math.max(least, limit * elapsed + aimed);
	let sum = 0;
	for (let number = 0; number <= state.level; number++) {
		sum += state.demand[number]! * elapsed + queued[number]!;
		if (sum > wanted) {
			return Math.max(minLevel, number - 1);
		}
	}

	return state.level;
}

/**
 * Raises the level until so much more a millisecond is let in. A number of
 * which nothing is known counts for the average of the numbers below.
 */
function raise(state: AdmissionLevel, more: number): number {
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
