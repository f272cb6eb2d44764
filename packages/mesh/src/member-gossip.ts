/** Gossip of new members. A node that it misses finds the member in the store. */
import {createGossip, type Gossip, type GossipOptions} from './gossip.js';
import type {Member} from './peer-message.js';

/** What the news need. */
export type MemberNewsOptions = Omit<GossipOptions<Member>, 'toMessage'>;

/** The news that wait to be passed on. */
export type MemberNews = Gossip<Member>;

/** Creates news of nobody. */
export function createMemberNews(options: MemberNewsOptions): MemberNews {
	return createGossip({
		...options,
		toMessage: (members) => ({kind: 'members', members}),
	});
}
