/** Another node that this one is linked to: its state, its load, and its target as one that may be chosen. */
import type {Clock} from '@egretspoke/shared';
import type {Candidate} from './decisions/target-selection.js';
import {idleLoad, type TargetChannel, type TargetLoad} from './exchange.js';
import type {PeerLink} from './peer-link.js';
import type {Member, StateMessage, TargetState} from './peer-message.js';

/** A node that can be asked to run a request. */
export type Peer = {
	member: Member;
	link: PeerLink;
	/** The instant at which the link was first wanted. */
	linkedAt: number;
	/** The instant since which the link can't be used; undefined while it can. */
	downSince: number | undefined;
	/** The instant since which no subset wants the link; undefined while one does. */
	unwantedSince: number | undefined;
	state: StateMessage | undefined;
	load: TargetLoad;
	/** This node's requests without an outcome when the load was reported. */
	outstandingAtReport: number;
	/** Failures in a row. */
	failures: number;
	doubtfulUntil: number;
};

/** A candidate with the way to it. */
export type TargetCandidate = Candidate & {
	channel: TargetChannel;
	/** Takes note of how an attempt ended. */
	note(outcomeKind: 'answered' | 'failed', load: TargetLoad | undefined): void;
};

/** Failures in a row after which a target is chosen only when there is no other. */
const doubtAfter = 3;
/** Milliseconds that the doubt lasts before the target is tried again. */
const doubtTime = 1000;
/** Milliseconds after which a new link should be open and its target known. */
const settleTime = 3000;
/** Milliseconds in which a node that ended is usually back. */
const restartTime = 1000;

/** A node of which nothing has been heard. */
export function createPeer(member: Member, link: PeerLink, now: number): Peer {
	return {
		member,
		link,
		linkedAt: now,
		downSince: now,
		unwantedSince: undefined,
		state: undefined,
		load: idleLoad,
		outstandingAtReport: 0,
		failures: 0,
		doubtfulUntil: 0,
	};
}

/** The target beside the peer, if it may be given work of the service now. */
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

/** Whether the peer counts as one that takes work of the service: it does, or is given time to. */
export function isExpectedToWork(
	peer: Peer,
	service: string,
	now: number,
): boolean {
	if (now - peer.linkedAt < settleTime) {
		return true;
	}

	if (peer.downSince !== undefined) {
		return now - peer.downSince < restartTime;
	}

	return (
		usableTarget(peer, service) !== undefined &&
		!(peer.state?.isStopping ?? false)
	);
}

/** Requests in the target or waiting for it, over what it may run at once, as far as known. */
export function estimateOccupancy(
	{load, link, outstandingAtReport}: Peer,
	slots: number,
): number {
	return load.occupancy + (link.outstanding() - outstandingAtReport) / slots;
}

/** Takes a report of the target's load. */
export function takeLoad(peer: Peer, load: TargetLoad | undefined): void {
	if (load) {
		peer.load = load;
		peer.outstandingAtReport = peer.link.outstanding();
	}
}

/** The peer's target as one that may be chosen by a node in the data centre. */
export function createPeerCandidate(
	peer: Peer,
	slots: number,
	dataCentre: string,
	clock: Clock,
): TargetCandidate {
	return {
		node: peer.member.node,
		isLocal: false,
		isNear: peer.member.dataCentre === dataCentre,
		occupancy: estimateOccupancy(peer, slots),
		// A node that stops still serves for a moment, for those who have no other.
		isDoubtful:
			clock.now() < peer.doubtfulUntil ||
			(peer.state?.isStopping ?? false) ||
			peer.link.isSilent(),
		channel: peer.link,
		failureShare: peer.load.failureShare,
		runTime: peer.load.runTime,
		note(kind, load) {
			takeLoad(peer, load);
			if (kind === 'answered') {
				peer.failures = 0;
			} else if (++peer.failures >= doubtAfter) {
				peer.failures = 0;
				peer.doubtfulUntil = clock.now() + doubtTime;
			}
		},
	};
}
