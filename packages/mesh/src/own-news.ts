/** What a node says of itself to those that are linked to it. */
import type {CallProfile} from './decisions/call-profile.js';
import type {InnerRoutes} from './decisions/inner-routes.js';
import type {ConfigurationFollower} from './configuration-follower.js';
import type {Gatekeeper} from './gatekeeper.js';
import type {
	HelloMessage,
	Member,
	ProfilesMessage,
	StateMessage,
} from './peer-message.js';
import type {TargetBelief} from './target-belief.js';

/** Where the news come from; each is asked when something is told. */
export type OwnNewsOptions = {
	self: Member;
	isStopping: () => boolean;
	follower: () => Pick<ConfigurationFollower, 'current' | 'isFollowing'>;
	belief: () => Pick<TargetBelief, 'state'>;
	gatekeeper: () => Pick<Gatekeeper, 'load'>;
	innerRoutes: Pick<InnerRoutes, 'requestedRoutes'>;
	profile: Pick<CallProfile, 'profiles'>;
};

/** The messages, as of now. */
export type OwnNews = {
	hello(): HelloMessage;
	state(): StateMessage;
	profiles(): ProfilesMessage;
};

/** Creates the news of a node. */
export function createOwnNews(options: OwnNewsOptions): OwnNews {
	const {self, follower, belief, gatekeeper, innerRoutes, profile} = options;
	return {
		hello: () => ({
			kind: 'hello',
			member: self,
			configurationVersion: follower().current()?.version ?? 0,
		}),
		state: () => ({
			kind: 'state',
			isStopping: options.isStopping(),
			isFollowing: follower().isFollowing(),
			target: belief().state(),
			load: gatekeeper().load(),
			service: self.service,
			routes: innerRoutes.requestedRoutes(),
		}),
		profiles: () => ({
			kind: 'profiles',
			service: self.service,
			profiles: profile.profiles(),
		}),
	};
}
