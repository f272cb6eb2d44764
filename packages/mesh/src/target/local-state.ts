/** Creates the messages in which a node reports its state to the nodes that are linked to it. */
import type {CallProfile} from '../decisions/admission/call-profile.js';
import type {InnerRoutes} from '../decisions/admission/inner-routes.js';
import type {ConfigurationFollower} from '../configuration/configuration-follower.js';
import type {
	HelloMessage,
	Member,
	PeerMessage,
	ProfilesMessage,
	StateMessage,
} from '../links/peer-message.js';
import type {TargetDispatcher} from './target-dispatcher.js';
import type {TargetTracker} from './target-tracker.js';

/** Sources of the messages, which are read whenever a message is created. */
export type LocalStateMessagesOptions = {
	self: Member;
	isStopping: () => boolean;
	follower: () => Pick<ConfigurationFollower, 'current' | 'isFollowing'>;
	targetTracker: () => Pick<TargetTracker, 'state'>;
	dispatcher: () => Pick<TargetDispatcher, 'load'>;
	innerRoutes: Pick<InnerRoutes, 'requestedRoutes'>;
	profile: Pick<CallProfile, 'profiles'>;
};

/** Creates messages with the current state. */
export type LocalStateMessages = {
	hello(): HelloMessage;
	/** Returns undefined while no configuration is known. */
	version(): PeerMessage | undefined;
	state(): StateMessage;
	profiles(): ProfilesMessage;
};

/** Creates the message factory of a node. */
export function createLocalStateMessages(
	options: LocalStateMessagesOptions,
): LocalStateMessages {
	const {self, follower, targetTracker, dispatcher, innerRoutes, profile} =
		options;
	return {
		hello: () => ({
			kind: 'hello',
			member: self,
			configurationVersion: follower().current()?.version ?? 0,
		}),
		version() {
			const configuration = follower().current();
			return configuration && {kind: 'version', version: configuration.version};
		},
		state: () => ({
			kind: 'state',
			isStopping: options.isStopping(),
			isFollowing: follower().isFollowing(),
			target: targetTracker().state(),
			load: dispatcher().load(),
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
