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
/** Share of the old counts that a window keeps. */
const keptShare = 0.5;

/** The state of one target's level. */
export type AdmissionLevel = {
	level: number;
	/** Slot time that arrived lately by priority number, averaged over windows. */
	arrived: Float64Array;
	/** The sum of the weights of the windows in `arrived`. */
	weight: number;
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
	inFlight: number;
	/** Slot time that waits. */
	waitingTime: number;
	/** The average service time. */
	serviceTime: number;
};

/** Creates an open level. */
export function createAdmissionLevel(now: number): AdmissionLevel {
	return {
		level: highestLevel,
		arrived: new Float64Array(highestLevel + 1),
		weight: 0,
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
	const offered = target.limit * elapsed;
	const idle = 1 - state.used / offered;
	state.weight = state.weight * keptShare + elapsed;
	state.level = nextLevel(state, target, elapsed, idle);
	for (let number = 0; number <= highestLevel; number++) {
		state.arrived[number]! *= keptShare;
	}

	state.windowStart = now;
	state.used = 0;
	state.refusedBefore = state.refused;
	state.refused = 0;
}

function nextLevel(
	state: AdmissionLevel,
	target: TargetState,
	elapsed: number,
	idle: number,
): number {
	const offered = target.limit * elapsed;
	const aimedQueue = aimedQueueTime * target.limit * target.serviceTime;
	// `arrived` holds several windows; this brings it to one.
	const scale = elapsed / state.weight;
	const admitted = sumUpTo(state, state.level) * scale;
	if (idle > idleShare) {
		const wanted = limitChange(
			admitted,
			admitted / (1 - Math.min(idle, 0.9)),
			openingBounds,
		);
		return raise(state, (wanted - admitted) / scale);
	}

	const wanted = limitChange(
		admitted,
		offered + aimedQueue - target.waitingTime,
	);
	return wanted < admitted && target.waitingTime > aimedQueue / 2
		? lower(state, wanted / scale)
		: raise(state, Math.max(0, wanted - admitted) / scale);
}

/** The highest level up to which no more than the wanted slot time arrived. */
function lower(state: AdmissionLevel, wanted: number): number {
	let sum = 0;
	for (let number = 0; number <= state.level; number++) {
		sum += state.arrived[number] ?? 0;
		if (sum > wanted) {
			return Math.max(lowestLevel, number - 1);
		}
	}

	return state.level;
}

/**
 * Raises the level until so much more is let in. Above the level little may
 * have been seen, because the layers above refuse it, so a number counts for
 * at least the average of the numbers below.
 */
function raise(state: AdmissionLevel, more: number): number {
	if (state.level >= highestLevel || more <= 0) {
		return state.level;
	}

	const density = sumUpTo(state, state.level) / (state.level + 1);
	const last = Math.min(highestLevel, state.level + highestRise);
	let sum = 0;
	for (let number = state.level + 1; number <= last; number++) {
		sum += Math.max(density, state.arrived[number] ?? 0);
		if (sum > more) {
			return number;
		}
	}

	return last;
}

function sumUpTo(state: AdmissionLevel, level: number): number {
	let sum = 0;
	for (let number = 0; number <= level; number++) {
		sum += state.arrived[number] ?? 0;
	}

	return sum;
}
