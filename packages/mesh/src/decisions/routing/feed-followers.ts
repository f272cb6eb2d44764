/**
 * Decides which nodes follow the store's feed of configurations themselves.
 *
 * Load pattern: every node of a large fleet waits for the same change. Each
 * change then wakes all of them at once and causes as many calls to the store
 * as there are nodes, although a node receives it from its peers within
 * milliseconds. So only the first nodes of an order shared by all nodes follow
 * the feed.
 */
import {createNameRank} from './name-rank.js';

/** Another node as a possible follower. */
export type FeedPeer = {
	node: string;
	/** It follows the feed and can reach the store. */
	isFollowing: boolean;
};

/** The number of linked followers from which a node needn't follow the feed itself. */
const minLinkedFollowers = 5;

/** Milliseconds after its start within which a node receives a configuration from its peers, if they have one. */
const minStartDelay = 150;
/** Milliseconds over which the nodes of a fleet that starts as a whole are spread, the first followers first. */
const startSpread = 600;
const rankCount = 2 ** 32;

const rankOf = createNameRank('feed');

/**
 * Whether the node should follow the feed: always, unless it is linked to
 * enough followers that precede it in the order. A node that loses its
 * followers becomes one.
 */
export function isFeedFollower(self: string, peers: FeedPeer[]): boolean {
	const ownRank = rankOf(self);
	const before = peers.filter(
		({node, isFollowing}) => isFollowing && rankOf(node) < ownRank,
	);
	return before.length < minLinkedFollowers;
}

/**
 * Whether no linked follower precedes the node in the order. Only such a node
 * notices quickly that the feed has stalled: each call that ends without a change
 * is one more for the store, and the node reports a version to all others.
 */
export function isFirstFollower(self: string, peers: FeedPeer[]): boolean {
	const ownRank = rankOf(self);
	return !peers.some(
		({node, isFollowing}) => isFollowing && rankOf(node) < ownRank,
	);
}

/** Milliseconds after its start at which a node that still has no configuration requests it from the store. */
export function feedStartDelay(self: string): number {
	return minStartDelay + (rankOf(self) / rankCount) * startSpread;
}
