/**
 * Calculates which share of its calls a service declines, from the reports of
 * its targets.
 *
 * Load pattern: some targets of a service decline calls. Target selection
 * avoids them while others have room, so a mean over all targets would refuse
 * requests that the healthy targets serve; once these are full, the rest goes
 * to the declining ones.
 */
import type {DecliningService} from './completion-chance.js';

/** A target of a service, as its node reports it. */
export type DecliningTarget = {
	service: string;
	slots: number;
	/** The share of recent offers that the target declined. */
	declined: number;
	/** The level that the target asks for because calls end declined. */
	declineLevel: number;
	/** The demand for the target before shedding, as a multiple of its capacity; 0 if unknown. */
	demand: number;
};

/** The declined share from which target selection avoids a target. */
const avoidedShare = 0.1;
/** The assumed minimum demand for the service, as a multiple of its capacity; a lower estimate while few requests arrive would change at once when they do. */
const minDemand = 0.5;

type Sums = {slots: number; declined: number; level: number; demand: number};

/** Returns the services that decline calls; empty, and cheap to calculate, while no target does. */
export function findDecliningServices(
	targets: readonly DecliningTarget[],
): Map<string, DecliningService> {
	const found = new Map<string, DecliningService>();
	for (const {service, declined} of targets) {
		if (declined > 0 && !found.has(service)) {
			found.set(
				service,
				combine(targets.filter((target) => target.service === service)),
			);
		}
	}

	return found;
}

/**
 * The declining targets count by the share of the demand that the healthy ones
 * can't take, all weighted by their slots.
 */
function combine(targets: DecliningTarget[]): DecliningService {
	const healthy = sum(targets.filter(({declined}) => declined < avoidedShare));
	const declining = sum(
		targets.filter(({declined}) => declined >= avoidedShare),
	);
	if (declining.slots === 0) {
		return {declined: healthy.declined / healthy.slots, level: 0};
	}

	const healthyShare = healthy.slots / (healthy.slots + declining.slots);
	const demand = Math.min(
		1,
		Math.max(minDemand, healthy.demand / Math.max(1, healthy.slots)),
	);
	const part =
		healthy.slots === 0 ? 1 : Math.max(0, demand - healthyShare) / demand;
	return {
		declined: (part * declining.declined) / declining.slots,
		level: (part * declining.level) / declining.slots,
	};
}

function sum(targets: DecliningTarget[]): Sums {
	const sums: Sums = {slots: 0, declined: 0, level: 0, demand: 0};
	for (const {slots, declined, declineLevel, demand} of targets) {
		sums.slots += slots;
		sums.declined += slots * declined;
		sums.level += slots * declineLevel;
		sums.demand += slots * demand;
	}

	return sums;
}
