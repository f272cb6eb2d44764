/** The shed level that this node reports for its target's sake. */
import type {MeshPolicy} from './decisions/mesh-policy.js';
import {
	createShedLevel,
	maxUnserved,
	type Pressure,
} from './decisions/shed-level.js';

/** The level. */
export type TargetLevels = {
	/** To be called in each period. */
	update(pressure: Pressure): void;
	/** For the target's own sake. */
	own(): number;
	/** Nothing would change with the next update. */
	isIdle(unserved: number): boolean;
};

/** Creates levels of 0. */
export function createTargetLevels(
	policy: Pick<MeshPolicy, 'has'>,
): TargetLevels {
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
