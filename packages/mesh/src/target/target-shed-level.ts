/** The shed level that this node reports for its local target. */
import type {MeshPolicy} from '../decisions/mesh-policy.js';
import {
	createBulkhead,
	divideLevel,
	type Bulkhead,
} from '../decisions/admission/bulkhead.js';
import {
	createShedLevel,
	maxUnserved,
	type Pressure,
} from '../decisions/admission/shed-level.js';
import type {TargetLoad} from '../links/exchange.js';

/** The shed level of the local target. */
export type TargetShedLevel = {
	/** Updates the level; called once per `shedPeriod`. */
	update(pressure: Pressure): void;
	/** Forgets the run times of the previous target; returns the bulkhead of the new one, undefined if the policy has none. */
	renewBulkhead(): Bulkhead | undefined;
	/** The current level, from 0 to 1, without the part that applies to held routes. */
	own(): number;
	/** The levels and the demand to report; the occupancy is the demand while no level is needed. */
	load(
		occupancy: number,
	): Pick<TargetLoad, 'shedLevel' | 'declineLevel' | 'heldLevel' | 'demand'>;
	/** Whether the next update would change nothing. */
	isIdle(unserved: number): boolean;
};

/** Creates a level of 0. */
export function createTargetShedLevel(
	policy: Pick<MeshPolicy, 'has'>,
): TargetShedLevel {
	const own = createShedLevel();
	/**
	 * Apart from the own level: a new request whose only call is declined ends with
	 * a cheap refusal, so shedding it in advance would only lose those served.
	 */
	const ofDeclines = createShedLevel();
	let bulkhead: Bulkhead | undefined;
	let heldShare = 0;
	const divided = () => divideLevel(own.value(), heldShare);
	return {
		renewBulkhead() {
			bulkhead = policy.has('bulkhead') ? createBulkhead() : undefined;
			return bulkhead;
		},
		update(pressure) {
			heldShare = bulkhead?.takeHeldShare() ?? 0;
			const unserved = policy.has('levelOfDeclined') ? pressure.unserved : 0;
			const isApart = policy.has('completionChance');
			own.update({...pressure, unserved: isApart ? 0 : unserved});
			ofDeclines.update({
				wait: 0,
				occupancy: 0,
				arriving: 0,
				declined: pressure.declined,
				unserved: isApart ? unserved : 0,
			});
		},
		own: () => divided().all,
		load(occupancy) {
			const {all, held} = divided();
			return {
				shedLevel: all,
				declineLevel: ofDeclines.value(),
				heldLevel: held,
				demand: own.value() > 0 ? own.demand() : occupancy,
			};
		},
		isIdle: (unserved) =>
			own.value() === 0 && ofDeclines.value() === 0 && unserved < maxUnserved,
	};
}
