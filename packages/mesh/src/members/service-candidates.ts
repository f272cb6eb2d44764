/**
 * The remote targets of each service, as candidates of target selection. The
 * list of a service is kept between requests; listing all links for each
 * attempt would cost more than the selection.
 */
import {
	PeerCandidate,
	type Peer,
	type PeerCandidateContext,
	type TargetCandidate,
} from '../links/peer.js';

/** The candidates of a node. */
export type ServiceCandidates = {
	/** Returns the available targets of the service, except those of the given nodes; the list is valid until the next call. */
	list(service: string, except: readonly string[]): TargetCandidate[];
	/** Must be called when a link was opened or closed, and when the target of a peer changed. */
	invalidate(): void;
};

/** Creates the candidates of the given peers. */
export function createServiceCandidates(
	peers: ReadonlyMap<string, Peer>,
	context: PeerCandidateContext,
): ServiceCandidates {
	const byPeer = new WeakMap<Peer, PeerCandidate>();
	const byService = new Map<string, PeerCandidate[]>();
	const available: TargetCandidate[] = [];

	const candidateOf = (peer: Peer): PeerCandidate => {
		let candidate = byPeer.get(peer);
		if (!candidate) {
			candidate = new PeerCandidate(context, peer);
			byPeer.set(peer, candidate);
		}

		return candidate;
	};

	const candidatesOf = (service: string): PeerCandidate[] => {
		let candidates = byService.get(service);
		if (!candidates) {
			candidates = [];
			for (const peer of peers.values()) {
				if (peer.state?.target?.service === service) {
					candidates.push(candidateOf(peer));
				}
			}

			byService.set(service, candidates);
		}

		return candidates;
	};

	return {
		list(service, except) {
			const now = context.clock.now();
			available.length = 0;
			for (const candidate of candidatesOf(service)) {
				if (
					!except.includes(candidate.node) &&
					candidate.update(service, now)
				) {
					available.push(candidate);
				}
			}

			return available;
		},
		invalidate() {
			byService.clear();
		},
	};
}
