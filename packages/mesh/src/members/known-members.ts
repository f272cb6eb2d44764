/** Tracks every member that this node was notified of, linked or not. */
import type {Member} from '../links/peer-message.js';

/** The known members, without this node. */
export type KnownMembers = {
	/** Adds or updates a member; the result shows whether other nodes may need it. */
	add(member: Member): MemberChange;
	remove(node: string): void;
	get(node: string): Member | undefined;
	/** Returns the members whose targets belong to the service. */
	of(service: string): Member[];
	services(): string[];
	all(): Member[];
	/** Incremented when a member is added, moved or removed. */
	revision(): number;
	size(): number;
};

/** How an added member relates to the known ones. */
export type MemberChange =
	/** Already known, or an older start of a known member. */
	| 'known'
	/** A later start of a known member, with the same address, data centre and service. */
	| 'restarted'
	/** Not known, or known with another address, data centre or service. */
	| 'new';

/** Creates an empty set of members for the node `self`. */
export function createKnownMembers(self: string): KnownMembers {
	const members = new Map<string, Member>();
	let revision = 0;
	return {
		add(member) {
			const known = members.get(member.node);
			if (
				member.node === self ||
				(known && known.startedAt >= member.startedAt)
			) {
				return 'known';
			}

			members.set(member.node, member);
			if (known && isSamePlace(known, member)) {
				return 'restarted';
			}

			revision++;
			return 'new';
		},
		remove(node) {
			if (members.delete(node)) {
				revision++;
			}
		},
		get: (node) => members.get(node),
		of: (service) =>
			[...members.values()].filter((member) => member.service === service),
		services: () => [
			...new Set([...members.values()].map(({service}) => service)),
		],
		all: () => [...members.values()],
		revision: () => revision,
		size: () => members.size,
	};
}

/** Whether the member is a start of the same node that is not earlier, at another place. */
export function isDisplaced(node: Member, by: Member): boolean {
	return (
		by.node === node.node &&
		by.startedAt >= node.startedAt &&
		!isSamePlace(by, node)
	);
}

/** Whether address, data centre and service are unchanged; nodes that know the member then need no update about its restart. */
export function isSamePlace(left: Member, right: Member): boolean {
	return (
		left.address === right.address &&
		left.dataCentre === right.dataCentre &&
		left.service === right.service
	);
}
