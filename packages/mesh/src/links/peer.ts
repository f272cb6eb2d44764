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

/** Options of `createPeerCandidate`. */
export type PeerCandidateOptions = {
	peer: Peer;
	slots: number;
	/** The data centre of this node. */
	dataCentre: string;
	clock: Clock;
	/** Receives the load that an outcome reports. */
	onLoad: (peer: Peer, load: TargetLoad | undefined) => void;
};

/** Creates a routing candidate for the peer's target. */
export function createPeerCandidate({
	peer,
	slots,
	dataCentre,
	clock,
	onLoad,
}: PeerCandidateOptions): TargetCandidate {
	return {
		node: peer.member.node,
		isLocal: false,
		isNear: peer.member.dataCentre === dataCentre,
		occupancy: estimateOccupancy(peer, slots, clock.now()),
		isRateLimited: isRateLimited(peer.load),
		// A stopping node still accepts requests for a moment, for callers that have no other target.
		isDoubtful:
			clock.now() < peer.doubtfulUntil ||
			(peer.state?.isStopping ?? false) ||
			peer.link.isSilent(),
		channel: peer.link,
		failureShare: peer.load.failureShare,
		runTime: peer.load.runTime,
		recordOutcome(kind, load) {
			onLoad(peer, load);
			if (kind === 'answered') {
				peer.failures = 0;
			} else if (++peer.failures >= doubtThreshold) {
				peer.failures = 0;
				peer.doubtfulUntil = clock.now() + doubtDuration;
			}
		},
	};
}
