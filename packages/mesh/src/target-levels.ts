/** The shed levels that this node reports: for its target's sake, and for the sake of services that the target calls. */
import {createCallLevel} from './decisions/call-level.js';
import {createDeeperLevel} from './decisions/deeper-level.js';
import type {MeshPolicy} from './decisions/mesh-policy.js';
import {
	createShedLevel,
	leastUnserved,
	type Pressure,
} from './decisions/shed-level.js';

/** The levels; instants by the steady clock, in milliseconds. */
export type TargetLevels = {
	/** To be called in each period, with the number of priorities. */
	update(pressure: Pressure, tiers: number, now: number): void;
	/** The target's own calls met this level at the services that they went to. */
	noteDeeperLevel(level: number, now: number): void;
	/** A call of the target has ended; whether it needed another target, and did not get one since the budget was spent. */
	noteCallEnd(wasLost: boolean, isUnserved: boolean, now: number): void;
	/** For the target's own sake. */
	own(): number;
	/** For the sake of services that it calls. */
	deeper(now: number): number;
	/** Nothing would change with the next update. */
	isIdle(unserved: number, now: number): boolean;
};

/** Creates levels of 0. */
export function createTargetLevels(
	policy: Pick<MeshPolicy, 'has'>,
): TargetLevels {
	const own = createShedLevel();
	const met = createDeeperLevel();
	const ofCalls = createCallLevel();
	return {
		update(pressure, tiers, now) {
			const isUsed = policy.has('levelOfDeclined');
			own.update(
				{...pressure, unserved: isUsed ? pressure.unserved : 0},
				tiers,
			);
			ofCalls.update(tiers, now);
		},
		noteDeeperLevel(level, now) {
			met.note(level, now);
		},
		noteCallEnd(wasLost, isUnserved, now) {
			if (policy.has('levelOfCalls')) {
				ofCalls.note(wasLost, isUnserved, now);
			}
		},
		own: () => own.value(),
		deeper: (now) => Math.max(ofCalls.value(), met.value(now)),
		isIdle: (unserved, now) =>
			own.value() === 0 && ofCalls.isIdle(now) && unserved < leastUnserved,
	};
}
