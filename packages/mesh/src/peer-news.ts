/** News that may come on either side of a link: members, and versions of the configuration. */
import type {ConfigurationFollower} from './configuration-follower.js';
import type {Member, PeerMessage} from './peer-message.js';

/** What the handler needs. */
export type NewsOptions = {
	follower: Pick<ConfigurationFollower, 'current' | 'offer'>;
	onMembers: (members: Member[]) => void;
};

/** Takes a message, and may send one back on the same link. */
export type NewsHandler = (
	message: PeerMessage,
	reply: (message: PeerMessage) => void,
) => void;

/** Creates the handler. */
export function createNewsHandler({
	follower,
	onMembers,
}: NewsOptions): NewsHandler {
	/** Asks for a version that is newer, and sends one that the other side lacks. */
	const compareVersions = (
		version: number,
		reply: (message: PeerMessage) => void,
	) => {
		const current = follower.current();
		if (version > (current?.version ?? 0)) {
			reply({kind: 'configurationWanted'});
		} else if (current && version < current.version) {
			reply({kind: 'configuration', configuration: current});
		}
	};

	return (message, reply) => {
		const current = follower.current();
		if (message.kind === 'hello') {
			onMembers(message.members);
			compareVersions(message.configurationVersion, reply);
		} else if (message.kind === 'version') {
			compareVersions(message.version, reply);
		} else if (message.kind === 'configurationWanted' && current) {
			reply({kind: 'configuration', configuration: current});
		} else if (message.kind === 'configuration') {
			follower.offer(message.configuration);
		}
	};
}
