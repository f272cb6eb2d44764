/** The shed level that this node reports for its local target. */
import type {MeshPolicy} from '../decisions/mesh-policy.js';
import {
	createShedLevel,
	maxUnserved,
	type Pressure,
} from '../decisions/admission/shed-level.js';

/** The shed level of the local target. */
export type TargetShedLevel = {
	/** Updates the level; called once per `shedPeriod`. */
	update(pressure: Pressure): void;
	/** The current level, from 0 to 1. */
	own(): number;
	/** Whether the next update would change nothing. */
	isIdle(unserved: number): boolean;
};

/** Creates a level of 0. */
export function createTargetShedLevel(
	policy: Pick<MeshPolicy, 'has'>,
): TargetShedLevel {
	const own = createShedLevel();
	return {
		update(pressure) {
			const isUsed = policy.has('levelOfDeclined');
			own.update({...pressure, unserved: isUsed ? pressure.unserved : 0});
		},
		own: () => own.value(),
		isIdle: (unserved) => own.value() === 0 && unserved < maxUnserved,
	};
}
