/** The target beside this node as one that may be chosen. */
import type {TargetCandidate} from './directory.js';
import type {Gatekeeper} from './gatekeeper.js';

/** Stands for this node's own target among those that were tried; no node has an empty name. */
export const localNode = '';

/** Its state as of now; it is doubtful while this node stops. */
export function createLocalCandidate(
	gatekeeper: Gatekeeper,
	isDoubtful: boolean,
): TargetCandidate {
	const load = gatekeeper.load();
	return {
		node: localNode,
		isLocal: true,
		isNear: true,
		occupancy: load.occupancy,
		failureShare: load.failureShare,
		runTime: load.runTime,
		isDoubtful,
		channel: gatekeeper,
		note: () => undefined,
	};
}
