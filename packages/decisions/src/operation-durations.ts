/**
 * Average durations by operation, from requests that ended.
 *
 * The moving averages span `recentSpan` and `longTermSpan` requests: the first
 * follows a slowdown within one round of the slots, the second provides the
 * long-term duration for comparison. The table is bounded because operation
 * names come from outside.
 */
import {updateAverage} from './rate-of-change.js';

const recentSpan = 16;
const longTermSpan = 512;
/** Maximum number of operations in the table; a service has tens, not hundreds. */
const operationLimit = 256;

type OperationDuration = {
	recent: number;
	longTerm: number;
	count: number;
	running: number;
};

/** The recorded durations, in milliseconds. */
export type OperationDurations = {
	byOperation: Map<string, OperationDuration>;
	/** The average over all requests, whatever their operation. */
	average: number;
	/**
	 * The average of the logarithm, for the typical duration; a few long
	 * requests hardly change it.
	 */
	typicalLog: number;
	count: number;
};

/** Creates a table without durations. */
export function createOperationDurations(): OperationDurations {
	return {byOperation: new Map(), average: 0, typicalLog: 0, count: 0};
}

/**
 * Records a duration. An incomplete one, of a request that was cut short, is
 * only a lower bound.
 */
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

/**
 * The expected duration; the average of all operations when this one is new; 0
 * when no duration is recorded.
 */
export function expectedDuration(
	state: OperationDurations,
	operation: string,
): number {
	return state.byOperation.get(operation)?.recent ?? state.average;
}

/**
 * Scales a duration to the operation that was recorded first, so that a
 * different mix of operations doesn't look like a slower target.
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

/** Records a request of the operation as running (1) or ended (-1). */
export function countRunning(
	state: OperationDurations,
	operation: string,
	change: 1 | -1,
): void {
	const entry = findOrAdd(state, operation);
	entry.running = Math.max(0, entry.running + change);
}

/** The number of running requests of the operation. */
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

/** Removes the oldest operation that isn't running. */
function evictIdle({byOperation}: OperationDurations): void {
	for (const [operation, {running}] of byOperation) {
		if (running === 0) {
			byOperation.delete(operation);
			return;
		}
	}
}
