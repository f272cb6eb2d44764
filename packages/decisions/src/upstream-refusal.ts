/**
 * Work that the called service would refuse is refused before it is sent.
 *
 * Load pattern: a service is saturated and its callers go on sending. Each
 * refusal costs a hop, and refused work that has travelled through layers was
 * spent on for nothing; one notices nodes that are busy with refusals. The
 * answers bring the level in force, and a request whose priority number, or
 * whose whole class, is above it ends here (DAGOR, collaborative admission).
 *
 * What could go wrong: a level that nobody confirms any more refuses for ever.
 * So one request in each `probeInterval` passes whatever the level says; its
 * answer brings the level of that moment, and levels relax with age besides.
 *
 * Threshold: a probe every tenth of a second is ten a second and node, small
 * beside the hundreds a second which are refused when this matters, and so
 * fast that an opened level is known within the round trip after it.
 */
import {rankOf} from '@egretspoke/protocol';
import {maxLevel, prioritiesPerClass} from './admission-level.js';
import {findOrAdd} from './bounded-table.js';
import {
	addLevel,
	createLevelSamples,
	currentLevel,
	type LevelSamples,
} from './level-samples.js';
import type {CallFacts} from './policy.js';

const operationLimit = 256;
const probeInterval = 100;

type ObservedLevel = {samples: LevelSamples; probedAt: number};

/** The levels of one service by operation. */
export type ServiceLevels = Map<string, ObservedLevel>;

/** Learns the level that an answer to the operation brought. */
export function recordLevel(
	state: ServiceLevels,
	operation: string,
	level: number,
	now: number,
): void {
	const observed = findOrAdd(state, operation, operationLimit, () => ({
		samples: createLevelSamples(),
		probedAt: now,
	}));
	addLevel(observed.samples, level, now);
}

/** The level that holds for the operation now. */
export function observedLevel(
	state: ServiceLevels,
	operation: string,
	now: number,
): number {
	const observed = state.get(operation);
	return observed ? currentLevel(observed.samples, now) : maxLevel;
}

/** Whether the request is doomed; one in each interval passes as a probe. */
export function isRefusedUpstream(
	state: ServiceLevels,
	call: CallFacts,
	now: number,
): boolean {
	const observed = state.get(call.operation);
	if (!observed) {
		return false;
	}

	// Without a number only a class that is shut as a whole can be told.
	const priority =
		call.priority ?? rankOf(call.requestClass) * prioritiesPerClass;
	if (priority <= currentLevel(observed.samples, now)) {
		return false;
	}

	if (now - observed.probedAt >= probeInterval) {
		observed.probedAt = now;
		return false;
	}

	return true;
}
