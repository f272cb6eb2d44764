/**
 * Calculates the shed level of a service that has lost targets, from the
 * demand that they reported before.
 *
 * Load pattern: a deep service loses half of its targets at once. The remaining
 * ones report a higher demand only after their queues have grown, while the
 * requests that are admitted until then fail midway. So the demand of a lost
 * target counts for the remaining ones at once.
 */

/** A linked target; slots and demand are those of its last report. */
export type CapacityTarget = {
	node: string;
	service: string;
	slots: number;
	/** The demand before shedding, as a multiple of its capacity. */
	demand: number;
	/** Running and waiting requests, divided by the concurrency limit. */
	occupancy: number;
	/** It accepts requests: its link is up, and it is reachable and not leaving. */
	isUsable: boolean;
};

/** The levels of services that have lost targets; times are in milliseconds of the steady clock. */
export type CapacityLevels = {
	/**
	 * Returns the levels above 0.
	 *
	 * @param membersOf - The number of known targets of a service, linked or not.
	 */
	update(
		targets: readonly CapacityTarget[],
		membersOf: (service: string) => number,
		now: number,
	): Map<string, number>;
};

/** The maximum level; the rest is still admitted, so that some requests of each kind succeed once targets are back. */
const maxLevel = 0.95;
/** The admitted load, as a multiple of the remaining capacity; as in `shed-level.ts`. */
const usedCapacity = 1.02;
/**
 * The fall per second of the demand that is attributed to the remaining
 * targets while they have free slots: an estimate that is too high by a fifth is
 * corrected in about a second.
 */
const correctionPerSecond = 0.2;
/** The occupancy, with waiting requests, below which the remaining targets could take more. */
const spareOccupancy = 0.9;
const millisecondsPerSecond = 1000;

type Known = {
	/** Slots that are needed for the demand, of targets that were usable or are lost. */
	needed: number;
	/** The last usable state of each target. */
	targets: Map<string, {slots: number; demand: number}>;
	updatedAt: number;
};

/** Creates the levels of a node that knows no targets. */
export function createCapacityLevels(): CapacityLevels {
	const services = new Map<string, Known>();
	return {
		update(targets, membersOf, now) {
			const levels = new Map<string, number>();
			for (const [service, listed] of groupByService(targets)) {
				const known = services.get(service) ?? {
					needed: 0,
					targets: new Map(),
					updatedAt: now,
				};
				services.set(service, known);
				const level = updateService(
					known,
					listed,
					listed.length < membersOf(service),
					now,
				);
				if (level > 0) {
					levels.set(service, level);
				}
			}

			return levels;
		},
	};
}

/**
 * Updates what is known of a service and returns its level.
 *
 * @param isSubset - The service has targets that aren't linked. One lost target
 * of a few linked ones says little about the service then, so it isn't counted.
 */
function updateService(
	known: Known,
	listed: readonly CapacityTarget[],
	isSubset: boolean,
	now: number,
): number {
	forgetUnlisted(known, listed);
	const usable = listed.filter(({isUsable}) => isUsable);
	const lost = listed.filter(
		({isUsable, node}) => !isUsable && known.targets.has(node),
	);
	for (const {node, slots, demand} of usable) {
		// A target that is linked in place of a lost one brings its own demand.
		known.needed += known.targets.has(node) ? 0 : slots * demand;
		known.targets.set(node, {slots, demand});
	}

	const elapsed = (now - known.updatedAt) / millisecondsPerSecond;
	known.updatedAt = now;
	const reported = sum(usable.map(({slots, demand}) => slots * demand));
	if (lost.length <= (isSubset ? 1 : 0)) {
		known.needed = reported;
		return 0;
	}

	const capacity = sum(usable.map(({slots}) => slots));
	const occupied = sum(usable.map(({slots, occupancy}) => slots * occupancy));
	const hasSpare = capacity > 0 && occupied < spareOccupancy * capacity;
	known.needed = Math.max(
		reported,
		known.needed * (1 - (hasSpare ? correctionPerSecond * elapsed : 0)),
	);
	const level = 1 - (usedCapacity * capacity) / Math.max(1, known.needed);
	return Math.min(maxLevel, Math.max(0, level));
}

/** A target that is no longer linked takes its part of the demand with it: other nodes' links show it. */
function forgetUnlisted(known: Known, listed: readonly CapacityTarget[]): void {
	const nodes = new Set(listed.map(({node}) => node));
	for (const [node, {slots, demand}] of known.targets) {
		if (!nodes.has(node)) {
			known.targets.delete(node);
			known.needed = Math.max(0, known.needed - slots * demand);
		}
	}
}

function groupByService(
	targets: readonly CapacityTarget[],
): Map<string, CapacityTarget[]> {
	const groups = new Map<string, CapacityTarget[]>();
	for (const target of targets) {
		const group = groups.get(target.service);
		if (group) {
			group.push(target);
		} else {
			groups.set(target.service, [target]);
		}
	}

	return groups;
}

function sum(values: number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
