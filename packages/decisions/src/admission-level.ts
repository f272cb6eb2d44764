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
export const sharesPerClass = 128;

/** The level that lets everything in. */
export const highestLevel = 383;

/** The highest priority number of an essential request. */
export const highestEssential = sharesPerClass - 1;

/** The lowest level: a twentieth of the essential band is never shut, so that the level can be learnt anew. */
export const lowestLevel = 6;

/** Opening may double: while slots are idle there is no queue that an overshoot could lengthen. */
const openingBounds = {down: 1, up: 2};
const shortestWindow = 200;
const windowServiceTimes = 2;
/** The queue aimed at, in service times. */
export const aimedQueueTime = 0.5;
const idleShare = 0.05;
/** The most by which the level rises in a window: half a class. */
const highestRise = sharesPerClass / 2;
/** The weight of a window in the demand up to the level. */
const newShare = 0.5;
/** What is kept a window of the demand known above the level: half after about three seconds, and after less than one while slots are idle. */
const keptAbove = 0.95;
const keptAboveIdle = 0.8;

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
	refusedBefore: number;
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
		level: highestLevel,
		arrived: new Float64Array(highestLevel + 1),
		demand: new Float64Array(highestLevel + 1),
		windows: 0,
		windowStart: now,
		used: 0,
		countedUntil: now,
		refused: 0,
		refusedBefore: 0,
	};
}

/** Counts the slot time used since the last call; to be called before the requests in flight change. */
export function countUse(
	state: AdmissionLevel,
	inFlight: number,
	now: number,
): void {
	state.used += inFlight * (now - state.countedUntil);
	state.countedUntil = now;
}

/** Counts an arrival with the slot time that it will take. */
export function noteArrival(
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
	return now - state.windowStart >= levelWindow(serviceTime);
}

/** The length of a window in milliseconds. */
export function levelWindow(serviceTime: number): number {
	return Math.max(shortestWindow, windowServiceTimes * serviceTime);
}

/** Sets the level for the next window. */
export function closeLevelWindow(
	state: AdmissionLevel,
	target: TargetState,
	now: number,
): void {
	const elapsed = now - state.windowStart;
	const idle = 1 - state.used / (target.limit * elapsed);
	learnDemand(state, elapsed, idle > idleShare);
	state.level =
		idle > idleShare
			? openLevel(state, idle)
			: fitLevel(state, target, elapsed);
	state.arrived.fill(0);
	state.windowStart = now;
	state.used = 0;
	state.refusedBefore = state.refused;
	state.refused = 0;
}

/**
 * Up to the level all demand arrives here. Above it the layers above refuse,
 * so that few arrivals there don't mean little demand: what was seen when the
 * level was higher is forgotten slowly, faster while slots are idle.
 */
function learnDemand(
	state: AdmissionLevel,
	elapsed: number,
	isIdle: boolean,
): void {
	const {arrived, demand, level} = state;
	const kept = isIdle ? keptAboveIdle : keptAbove;
	const share = Math.max(newShare, 1 / ++state.windows);
	for (let number = 0; number <= highestLevel; number++) {
		const known = demand[number]!;
		const moved = known + (arrived[number]! / elapsed - known) * share;
		demand[number] = number <= level ? moved : Math.max(moved, known * kept);
	}
}

/** The level that lets in as much more as slots were idle. */
function openLevel(state: AdmissionLevel, idle: number): number {
	const admitted = sumUpTo(state.demand, state.level);
	const wanted = limitChange(
		admitted,
		admitted / (1 - Math.min(idle, 0.9)),
		openingBounds,
	);
	return raise(state, wanted - admitted);
}

/** The level up to which what waits and what will arrive fills the slots and the aimed queue. */
function fitLevel(
	state: AdmissionLevel,
	{limit, serviceTime, waiting}: TargetState,
	elapsed: number,
): number {
	const aimed = aimedQueueTime * limit * serviceTime;
	const queued = new Float64Array(highestLevel + 1);
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
			return Math.max(lowestLevel, number - 1);
		}
	}

	return state.level;
}

/**
 * Raises the level until so much more a millisecond is let in. A number of
 * which nothing is known counts for the average of the numbers below.
 */
function raise(state: AdmissionLevel, more: number): number {
	if (state.level >= highestLevel || more <= 0) {
		return state.level;
	}

	const density = sumUpTo(state.demand, state.level) / (state.level + 1);
	const last = Math.min(highestLevel, state.level + highestRise);
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
