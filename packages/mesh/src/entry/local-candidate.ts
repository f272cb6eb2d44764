/** The local target as a candidate of target selection. */
import type {TargetCandidate} from '../members/directory.js';
import {isRateLimited} from '../links/exchange.js';
import type {TargetDispatcher} from '../target/target-dispatcher.js';

/** The node name of the local target among the tried ones; no node has an empty name. */
export const localNode = '';

/** The candidate of a node's own target; the same object for all requests. */
export class LocalCandidate implements TargetCandidate {
	readonly node = localNode;
	isLocal = true;
	isNear = true;
	occupancy = 0;
	isRateLimited = false;
	failureShare = 0;
	runTime = 0;
	isDoubtful = false;

	constructor(readonly channel: TargetDispatcher) {}

	/** Applies the current load; the target is doubtful while this node is stopping. */
	update(isStopping: boolean): void {
		const load = this.channel.load();
		this.occupancy = Math.max(load.occupancy, load.rate?.occupancy ?? 0);
		this.isRateLimited = isRateLimited(load);
		this.failureShare = load.failureShare;
		this.runTime = load.runTime;
		this.isDoubtful = isStopping;
	}

	/** The outcomes are known from the load. */
	recordOutcome(): void {
		// Nothing to record.
	}
}
