/**
 * Refuses requests before they are sent when the called service would refuse
 * them.
 *
 * Load pattern: a service is saturated while its callers keep sending. Each
 * refusal costs a hop, and the work of the layers that the request has passed
 * is wasted. Answers carry the current level, and a request whose priority
 * number, or whose whole class, is above it is refused here (DAGOR,
 * collaborative admission).
 *
 * A level that is no longer confirmed would refuse requests forever. One
 * request in each `probeInterval` therefore passes as a probe, and its answer
 * carries the current level; levels also relax with age.
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
/**
 * Milliseconds. Ten probes a second from each node are few compared with the
 * hundreds of refusals a second in such a case, and a raised level is known
 * within a round trip after the probe.
 */
const probeInterval = 100;

type ObservedLevel = {samples: LevelSamples; probedAt: number};

/** The levels of one service by operation. */
export type ServiceLevels = Map<string, ObservedLevel>;

/** Records the level of an answer to the operation. */
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

/** The current level for the operation. */
export function observedLevel(
	state: ServiceLevels,
	operation: string,
	now: number,
): number {
	const observed = state.get(operation);
	return observed ? currentLevel(observed.samples, now) : maxLevel;
}

/** Whether the request would be refused; one in each interval passes as a probe. */
export function isRefusedUpstream(
	state: ServiceLevels,
	call: CallFacts,
	now: number,
): boolean {
	const observed = state.get(call.operation);
	if (!observed) {
		return false;
	}

	// Without a priority number only a class that is refused as a whole can be
	// recognised.
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
