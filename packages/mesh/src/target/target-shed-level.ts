/** The shed level that this node reports for its local target. */
import type {MeshPolicy} from '../decisions/mesh-policy.js';
import {divideLevel} from '../decisions/admission/bulkhead.js';
import {
	createShedLevel,
	maxUnserved,
	type Pressure,
} from '../decisions/admission/shed-level.js';

/** The shed level of the local target. */
export type TargetShedLevel = {
	/** Updates the level; called once per `shedPeriod`, with the share of the load that is due to held routes. */
	update(pressure: Pressure, heldShare: number): void;
	/** The current level, from 0 to 1, without the part that applies to held routes. */
	own(): number;
	/** The level for requests that make calls at the target. */
	ofHeld(): number;
	/** The level because of calls that end declined, for requests whose calls reach the target; 0 while it is part of `own`. */
	ofDeclines(): number;
	/** The demand before shedding, as a multiple of the capacity; the occupancy is the demand while no level is needed. */
	demand(occupancy: number): number;
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
	let held = 0;
	return {
		update(pressure, heldShare) {
			held = heldShare;
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
		own: () => divideLevel(own.value(), held).all,
		ofHeld: () => divideLevel(own.value(), held).held,
		ofDeclines: () => ofDeclines.value(),
		demand: (occupancy) => (own.value() > 0 ? own.demand() : occupancy),
		isIdle: (unserved) =>
			own.value() === 0 && ofDeclines.value() === 0 && unserved < maxUnserved,
	};
}
