/** Gossip of new members. A node that the gossip does not reach reads the member from the store. */
import type {Member} from '../links/peer-message.js';
import {createGossip, type Gossip, type GossipOptions} from './gossip.js';

/** Options of `createMemberGossip`. */
export type MemberGossipOptions = Omit<GossipOptions<Member>, 'toMessage'>;

/** Members that wait to be forwarded. */
export type MemberGossip = Gossip<Member>;

/** Creates gossip without waiting members. */
export function createMemberGossip(options: MemberGossipOptions): MemberGossip {
	return createGossip({
		...options,
		toMessage: (members) => ({kind: 'members', members}),
	});
}
