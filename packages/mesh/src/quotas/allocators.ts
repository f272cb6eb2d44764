/**
 * The nodes that add up the demand of workspaces and decide for the others.
 *
 * The first reachable nodes of a data centre, in an order common to all nodes,
 * are its allocators: the first one decides, the second one receives the same
 * reports and can replace it.
 */
import {createNameRank} from '../decisions/routing/name-rank.js';
import type {Member} from '../links/peer-message.js';
import type {Directory} from '../members/directory.js';

/** Options of `createAllocators`. */
export type AllocatorsOptions = {
	self: Member;
	directory: () => Pick<Directory, 'members' | 'isLinked'>;
};

/** The allocators, as one node sees them. */
export type Allocators = {
	/** Reads the members, which change rarely; called before each exchange. */
	update(): void;
	/** The allocators of this data centre; the first one decides. */
	local(): string[];
	/** The allocators of all other data centres. */
	remote(): string[];
	/** Whether this many nodes are a majority of this data centre's. */
	isMajority(nodes: number): boolean;
	/** Members that need links, so that replacements are linked when an allocator stops. */
	pinned(): string[];
};

/** Nodes of each data centre that receive its reports. */
const allocatorCount = 2;
/** Nodes with pinned links, per data centre. */
const pinnedLocalCount = 4;
const pinnedRemoteCount = 2;

const rankOf = createNameRank('quota');

/** Creates the allocators of a node without members. */
export function createAllocators({
	self,
	directory,
}: AllocatorsOptions): Allocators {
	/** The nodes of each data centre by their precedence as allocators. */
	let ranked = new Map<string, string[]>([[self.dataCentre, [self.node]]]);

	const update = () => {
		ranked = new Map();
		const members = [...directory().members(), self];
		for (const {node, dataCentre} of members.toSorted(
			(left, right) => rankOf(left.node) - rankOf(right.node),
		)) {
			const nodes = ranked.get(dataCentre) ?? [];
			nodes.push(node);
			ranked.set(dataCentre, nodes);
		}
	};

	const localNodes = () => ranked.get(self.dataCentre)!;

	const listRemote = (): string[][] =>
		[...ranked].flatMap(([dataCentre, nodes]) =>
			dataCentre === self.dataCentre ? [] : [nodes],
		);

	const listReachable = (nodes: string[]): string[] =>
		nodes
			.filter((node) => node === self.node || directory().isLinked(node))
			.slice(0, allocatorCount);

	return {
		update,
		local: () => listReachable(localNodes()),
		remote: () => listRemote().flatMap((nodes) => listReachable(nodes)),
		isMajority: (nodes) => nodes * 2 > localNodes().length,
		pinned() {
			update();
			const nodes = localNodes();
			const isAllocator = nodes.slice(0, allocatorCount).includes(self.node);
			return [
				...nodes.slice(0, pinnedLocalCount),
				...(isAllocator
					? listRemote().flatMap((others) => others.slice(0, pinnedRemoteCount))
					: []),
			];
		},
	};
}
