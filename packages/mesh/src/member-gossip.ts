/** Gossip of new members. A node that it misses finds the member in the store. */
import {createGossip, type Gossip, type GossipOptions} from './gossip.js';
import type {Member} from './peer-message.js';

/** What the news need. */
export type MemberGossipOptions = Omit<GossipOptions<Member>, 'toMessage'>;

/** The news that wait to be passed on. */
export type MemberGossip = Gossip<Member>;

/** Creates news of nobody. */
export function createMemberGossip(options: MemberGossipOptions): MemberGossip {
	return createGossip({
		...options,
		toMessage: (members) => ({kind: 'members', members}),
	});
}
