/**
 * Durations by operation, learnt from how requests ended.
 *
 * The moving averages forget after `latelySpan` and `usualSpan` ends: the
 * first is short enough to follow a slowdown within one round of the slots,
 * the second long enough to tell what is usual. The table is bounded, since an
 * operation's name comes from outside.
 */
import {updateAverage} from './rate-of-change.js';

const recentSpan = 16;
const longTermSpan = 512;
/** Operations remembered; a service has tens, not hundreds. */
const operationLimit = 256;

type OperationDuration = {
	recent: number;
	longTerm: number;
	count: number;
	running: number;
};

/** What is known of durations, in milliseconds. */
export type OperationDurations = {
	byOperation: Map<string, OperationDuration>;
	/** The average over all operations, as they came. */
	average: number;
	/** The average of the logarithm: the typical duration, which a few long ones don't move. */
	typicalLog: number;
	count: number;
};

/** Creates the state in which nothing is known. */
export function createOperationDurations(): OperationDurations {
	return {byOperation: new Map(), average: 0, typicalLog: 0, count: 0};
}

/** Learns a duration. One that was cut short says only that it is no shorter. */
export function recordDuration(
	state: OperationDurations,
	operation: string,
	duration: number,
	isComplete: boolean,
): void {
	const entry = findOrAdd(state, operation);
	const value = isComplete ? duration : Math.max(duration, entry.recent);
	entry.count++;
	entry.recent = updateAverage(entry.recent, value, entry.count, recentSpan);
	entry.longTerm = updateAverage(
		entry.longTerm,
		value,
		entry.count,
		longTermSpan,
	);
	state.count++;
	state.average = updateAverage(
		state.average,
		value,
		state.count,
		2 * recentSpan,
	);
	state.typicalLog = updateAverage(
		state.typicalLog,
		Math.log(Math.max(value, 0.01)),
		state.count,
		longTermSpan,
	);
}

/** The expected duration; that of all operations when this one is new; 0 when nothing is known. */
export function expectedDuration(
	state: OperationDurations,
	operation: string,
): number {
	return state.byOperation.get(operation)?.recent ?? state.average;
}

/**
 * What the duration would have been for the operation that was learnt first,
 * so that a different mix of operations doesn't look like a slower target.
 */
export function scaleToReference(
	state: OperationDurations,
	operation: string,
	duration: number,
): number {
	const own = state.byOperation.get(operation)?.longTerm ?? 0;
	const [reference] = state.byOperation.values();
	return own > 0 && reference && reference.longTerm > 0
		? (duration * reference.longTerm) / own
		: duration;
}

/** The duration of a typical request, whatever the operation. */
export function typicalDuration(state: OperationDurations): number {
	return state.count === 0 ? 0 : Math.exp(state.typicalLog);
}

/** Counts a request of the operation as running or ended. */
export function countRunning(
	state: OperationDurations,
	operation: string,
	change: 1 | -1,
): void {
	const entry = findOrAdd(state, operation);
	entry.running = Math.max(0, entry.running + change);
}

/** How many requests of the operation run now. */
export function runningCountOf(
	state: OperationDurations,
	operation: string,
): number {
	return state.byOperation.get(operation)?.running ?? 0;
}

function findOrAdd(
	state: OperationDurations,
	operation: string,
): OperationDuration {
	const entry = state.byOperation.get(operation);
	if (entry) {
		return entry;
	}

	if (state.byOperation.size >= operationLimit) {
		evictIdle(state);
	}

	const added = {
		recent: state.average,
		longTerm: state.average,
		count: 0,
		running: 0,
	};
	if (state.byOperation.size < operationLimit) {
		state.byOperation.set(operation, added);
	}

	return added;
}

/** Forgets the operation that was learnt first and isn't running. */
function evictIdle({byOperation}: OperationDurations): void {
	for (const [operation, {running}] of byOperation) {
		if (running === 0) {
			byOperation.delete(operation);
			return;
		}
	}
}
