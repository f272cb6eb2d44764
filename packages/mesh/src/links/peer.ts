/** Another node that this one is linked to: its state, its load, and its target as a routing candidate. */
import type {Clock} from '@egretspoke/shared';
import type {Candidate} from '../decisions/routing/target-selection.js';
import {burstOf} from '../decisions/admission/rate-limiter.js';
import {
	idleLoad,
	isRateLimited,
	type TargetChannel,
	type TargetLoad,
} from './exchange.js';
import type {PeerLink} from './peer-link.js';
import type {Member, StateMessage, TargetState} from './peer-message.js';

/** A linked node, to which requests can be sent. */
export type Peer = {
	member: Member;
	link: PeerLink;
	/** Time at which the link was created. */
	linkedAt: number;
	/** Time since which the link is unusable; undefined while it is usable. */
	downSince: number | undefined;
	/** Time since which the link is undesired; undefined while it is desired. */
	undesiredSince: number | undefined;
	state: StateMessage | undefined;
	load: TargetLoad;
	/** Time of the load report. */
	loadAt: number;
	/** This node's requests without an outcome at the time of the load report. */
	outstandingAtReport: number;
	/** Consecutive failures. */
	failures: number;
	doubtfulUntil: number;
};

/** A candidate with the channel to it. */
export type TargetCandidate = Candidate & {
	channel: TargetChannel;
	/** Records how an attempt ended. */
	recordOutcome(
		outcomeKind: 'answered' | 'failed',
		load: TargetLoad | undefined,
	): void;
};

/** Consecutive failures after which a target is chosen only if there is no other. */
const doubtThreshold = 3;
/** Milliseconds after which such a target is eligible again. */
const doubtDuration = 1000;
/** Milliseconds within which a new link should be open and its target known. */
const linkSetupTimeout = 3000;
/** Milliseconds within which a node that ended has usually restarted. */
const restartTimeout = 1000;
const millisecondsPerSecond = 1000;

/** Creates a peer without reported state or load. */
export function createPeer(member: Member, link: PeerLink, now: number): Peer {
	return {
		member,
		link,
		linkedAt: now,
		downSince: now,
		undesiredSince: undefined,
		state: undefined,
		load: idleLoad,
		loadAt: now,
		outstandingAtReport: 0,
		failures: 0,
		doubtfulUntil: 0,
	};
}

/** Returns the peer's target, if it accepts requests of the service now. */
export function usableTarget(
	{state, link}: Peer,
	service: string,
): TargetState | undefined {
	const target = state?.target;
	return target?.service === service &&
		!target.isLeaving &&
		target.isReachable &&
		link.isUsable()
		? target
		: undefined;
}

/** A linked target with its reported load. */
export type LinkedTarget = TargetLoad & {
	node: string;
	service: string;
	slots: number;
	/** It accepts requests now. */
	isUsable: boolean;
};

/** Returns the targets of the peers; those of which the peer reports none now are listed by the service of the member. */
export function listTargets(peers: Iterable<Peer>): LinkedTarget[] {
	const found: LinkedTarget[] = [];
	for (const peer of peers) {
		const service = peer.state?.target?.service ?? peer.member.service;
		const target = usableTarget(peer, service);
		found.push({
			...peer.load,
			node: peer.member.node,
			service,
			slots: target?.slots ?? 0,
			isUsable: target !== undefined,
		});
	}

	return found;
}

/** Whether the peer counts as serving the service: it does, or still has time to connect or to restart. */
export function isExpectedToServe(
	peer: Peer,
	service: string,
	now: number,
): boolean {
	if (now - peer.linkedAt < linkSetupTimeout) {
		return true;
	}

	if (peer.downSince !== undefined) {
		return now - peer.downSince < restartTimeout;
	}

	return (
		usableTarget(peer, service) !== undefined &&
		!(peer.state?.isStopping ?? false)
	);
}

/** Estimates how much of its slots or of its rate limit the target uses, whichever is more. */
export function estimateOccupancy(
	peer: Peer,
	slots: number,
	now: number,
): number {
	const {load, link, outstandingAtReport} = peer;
	const sentSince = link.outstanding() - outstandingAtReport;
	return Math.max(
		load.occupancy + sentSince / slots,
		estimateRateOccupancy(peer, sentSince, now),
	);
}

/** The use of a rate limit falls with time, also without a report. */
function estimateRateOccupancy(
	{load: {rate}, loadAt}: Peer,
	sentSince: number,
	now: number,
): number {
	if (!rate || rate.limit === Number.POSITIVE_INFINITY) {
		return 0;
	}

	const allowedSince = (rate.limit * (now - loadAt)) / millisecondsPerSecond;
	return rate.occupancy + (sentSince - allowedSince) / burstOf(rate.limit);
}

/** Applies a load report of the peer's target. */
export function applyLoad(
	peer: Peer,
	load: TargetLoad | undefined,
	now: number,
): void {
	if (load) {
		peer.load = load;
		peer.loadAt = now;
		peer.outstandingAtReport = peer.link.outstanding();
	}
}

/** What the candidates of a node share. */
export type PeerCandidateContext = {
	/** The data centre of this node. */
	dataCentre: string;
	clock: Clock;
	/** Receives the load that an outcome reports. */
	onLoad: (peer: Peer, load: TargetLoad | undefined) => void;
};

/** The target of a peer as a candidate; the same object for all requests, updated before each selection. */
export class PeerCandidate implements TargetCandidate {
	readonly node: string;
	isLocal = false;
	readonly isNear: boolean;
	readonly channel: TargetChannel;
	occupancy = 0;
	isRateLimited = false;
	failureShare = 0;
	runTime = 0;
	isDoubtful = false;

	constructor(
		private readonly context: PeerCandidateContext,
		private readonly peer: Peer,
	) {
		this.node = peer.member.node;
		this.isNear = peer.member.dataCentre === context.dataCentre;
		this.channel = peer.link;
	}

	/** Applies the current load; returns false if the target accepts no requests of the service. */
	update(service: string, now: number): boolean {
		const {peer} = this;
		const target = usableTarget(peer, service);
		if (!target) {
			return false;
		}

		const {load} = peer;
		this.occupancy = estimateOccupancy(peer, target.slots, now);
		this.isRateLimited = isRateLimited(load);
		this.failureShare = load.failureShare;
		this.runTime = load.runTime;
		// A stopping node still accepts requests for a moment, for callers that have no other target.
		this.isDoubtful =
			now < peer.doubtfulUntil ||
			(peer.state?.isStopping ?? false) ||
			peer.link.isSilent();
		return true;
	}

	recordOutcome(
		kind: 'answered' | 'failed',
		load: TargetLoad | undefined,
	): void {
		const {peer, context} = this;
		context.onLoad(peer, load);
		if (kind === 'answered') {
			peer.failures = 0;
		} else if (++peer.failures >= doubtThreshold) {
			peer.failures = 0;
			peer.doubtfulUntil = context.clock.now() + doubtDuration;
		}
	}
}
