/**
 * Indexes the members for the request path. It is rebuilt when members change,
 * some hundred times a day, so that a call costs one look-up regardless of the
 * number of members.
 */
import type {Member} from '@egretspoke/protocol';
import type {RoutingCandidate} from '@egretspoke/decisions';

/** Members by node, peer address and service. */
export type MemberDirectory = {
	byNode(node: string): Member | undefined;
	/** The node that announced this peer address. */
	nodeByAddress(peerAddress: string): string | undefined;
	/** True when the target of a member provides the service. */
	isServed(service: string): boolean;
	/**
	 * Rebuilds the index and returns the candidates of each service, with an empty
	 * list for a service that has lost its last one.
	 */
	update(members: readonly Member[], now: number): CandidatesByService;
};

/** The router's candidates of each service. */
export type CandidatesByService = Map<string, RoutingCandidate[]>;

const candidateStates: Partial<
	Record<Member['state'], RoutingCandidate['state']>
> = {active: 'active', suspect: 'suspect', leaving: 'leaving'};

/** Creates an empty directory. */
export function createMemberDirectory(): MemberDirectory {
	let members = new Map<string, Member>();
	let nodes = new Map<string, string>();
	let candidates: CandidatesByService = new Map();
	/** When each start of a node was first seen, for slow start. */
	let firstSeen = new Map<string, number>();

	return {
		byNode: (node) => members.get(node),
		nodeByAddress: (peerAddress) => nodes.get(peerAddress),
		isServed: (service) => candidates.has(service),
		update(current, now) {
			members = new Map(current.map((member) => [member.node, member]));
			nodes = new Map(
				current.map(({node, peerAddress}) => [peerAddress, node]),
			);
			const seen = new Map<string, number>();
			const next: CandidatesByService = new Map();
			for (const member of current) {
				const start = `${member.node}@${member.incarnation}`;
				const since = firstSeen.get(start) ?? now;
				const candidate = createCandidate(member, since);
				if (candidate) {
					seen.set(start, since);
					const {service} = member.target!;
					next.set(service, [...(next.get(service) ?? []), candidate]);
				}
			}

			const removedServices = [...candidates.keys()].filter(
				(each) => !next.has(each),
			);
			firstSeen = seen;
			candidates = next;
			const changed = new Map(next);
			for (const service of removedServices) {
				changed.set(service, []);
			}

			return changed;
		},
	};
}

function createCandidate(
	{node, dataCentre, state, target}: Member,
	since: number,
): RoutingCandidate | undefined {
	const candidateState = candidateStates[state];
	return target && candidateState
		? {
				node,
				dataCentre,
				slots: target.slots,
				connections: target.connections,
				since,
				state: candidateState,
			}
		: undefined;
}
