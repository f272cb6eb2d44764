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

type KnownTarget = {
	slots: number;
	demand: number;
	/** The update in which it was listed last. */
	listedIn: number;
};

type Known = {
	/** Slots that are needed for the demand, of targets that were usable or are lost. */
	needed: number;
	/** The last usable state of each target. */
	targets: Map<string, KnownTarget>;
	/** Sums over the listed targets of one update. */
	sums: Sums;
};

type Sums = {
	listed: number;
	usable: number;
	lost: number;
	/** Slots of usable targets: all, needed for the reported demand, and occupied. */
	capacity: number;
	reported: number;
	occupied: number;
};

const createSums = (): Sums => ({
	listed: 0,
	usable: 0,
	lost: 0,
	capacity: 0,
	reported: 0,
	occupied: 0,
});

/**
 * Creates the levels of a node that knows no targets. An update passes once
 * over the targets, since it runs up to twenty times a second.
 */
export function createCapacityLevels(): CapacityLevels {
	const services = new Map<string, Known>();
	let updates = 0;
	let updatedAt = 0;

	const knownOf = (service: string): Known => {
		let known = services.get(service);
		if (!known) {
			known = {needed: 0, targets: new Map(), sums: createSums()};
			services.set(service, known);
		}

		return known;
	};

	return {
		update(targets, membersOf, now) {
			updates++;
			const elapsed = (now - updatedAt) / millisecondsPerSecond;
			updatedAt = now;
			for (const target of targets) {
				countTarget(knownOf(target.service), target, updates);
			}

			const levels = new Map<string, number>();
			for (const [service, known] of services) {
				const isSubset = known.sums.listed < membersOf(service);
				forgetUnlisted(known, updates);
				updateNeeded(known, isSubset, elapsed);
				const level = levelOf(known, isSubset);
				if (level > 0) {
					levels.set(service, level);
				}

				known.sums = createSums();
			}

			return levels;
		},
	};
}

function countTarget(
	known: Known,
	{node, slots, demand, occupancy, isUsable}: CapacityTarget,
	update: number,
): void {
	const {sums} = known;
	const target = known.targets.get(node);
	sums.listed++;
	if (target) {
		target.listedIn = update;
	}

	if (!isUsable) {
		sums.lost += target ? 1 : 0;
		return;
	}

	sums.usable++;
	sums.capacity += slots;
	sums.reported += slots * demand;
	sums.occupied += slots * occupancy;
	if (target) {
		target.slots = slots;
		target.demand = demand;
	} else {
		// A target that is linked in place of a lost one brings its own demand.
		known.needed += slots * demand;
		known.targets.set(node, {slots, demand, listedIn: update});
	}
}

/** A target that is no longer linked takes its part of the demand with it: other nodes' links show it. */
function forgetUnlisted(known: Known, update: number): void {
	const {usable, lost} = known.sums;
	if (known.targets.size === usable + lost) {
		return;
	}

	for (const [node, {slots, demand, listedIn}] of known.targets) {
		if (listedIn !== update) {
			known.targets.delete(node);
			known.needed = Math.max(0, known.needed - slots * demand);
		}
	}
}

/** One lost target of a few linked ones says little about a service with more targets, so it isn't counted. */
function hasLost({sums}: Known, isSubset: boolean): boolean {
	return sums.lost > (isSubset ? 1 : 0);
}

function updateNeeded(known: Known, isSubset: boolean, elapsed: number): void {
	const {capacity, reported, occupied} = known.sums;
	if (!hasLost(known, isSubset)) {
		known.needed = reported;
		return;
	}

	const hasSpare = capacity > 0 && occupied < spareOccupancy * capacity;
	const kept = hasSpare ? 1 - Math.min(1, correctionPerSecond * elapsed) : 1;
	known.needed = Math.max(reported, known.needed * kept);
}

function levelOf(known: Known, isSubset: boolean): number {
	if (!hasLost(known, isSubset)) {
		return 0;
	}

	const level =
		1 - (usedCapacity * known.sums.capacity) / Math.max(1, known.needed);
	return Math.min(maxLevel, Math.max(0, level));
}
