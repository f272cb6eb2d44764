/** The local target as a candidate of target selection. */
import type {TargetCandidate} from '../members/directory.js';
import {isRateLimited} from '../links/exchange.js';
import type {TargetDispatcher} from '../target/target-dispatcher.js';

/** The node name of the local target among the tried ones; no node has an empty name. */
export const localNode = '';

/** Creates the candidate with its current load; it is doubtful while this node is stopping. */
export function createLocalCandidate(
	dispatcher: TargetDispatcher,
	isDoubtful: boolean,
): TargetCandidate {
	const load = dispatcher.load();
	return {
		node: localNode,
		isLocal: true,
		isNear: true,
		occupancy: Math.max(load.occupancy, load.rate?.occupancy ?? 0),
		isRateLimited: isRateLimited(load),
		failureShare: load.failureShare,
		runTime: load.runTime,
		isDoubtful,
		channel: dispatcher,
		recordOutcome: () => undefined,
	};
}
