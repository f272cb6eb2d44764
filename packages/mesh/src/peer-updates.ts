/** News that may come on either side of a link: members, and versions of the configuration. */
import type {Clock, Timer} from '@egretspoke/shared';
import type {ConfigurationFollower} from './configuration-follower.js';
import type {
	Member,
	PeerMessage,
	QuotaGrantMessage,
	QuotaUseMessage,
	SuspectsMessage,
} from './peer-message.js';

type Reply = (message: PeerMessage) => void;

/** What the handler needs. */
export type UpdateHandlerOptions = {
	clock: Clock;
	follower: Pick<ConfigurationFollower, 'current' | 'offer'>;
	/** A member said hello. */
	onHello: (member: Member) => void;
	/** Somebody tells what it lets in of workspaces' requests. */
	onQuotaUse: (message: QuotaUseMessage, reply: Reply) => void;
	/** Somebody grants shares of quotas. */
	onQuotaGrant: (message: QuotaGrantMessage) => void;
	/** Somebody told of requests under which targets crashed. */
	onSuspects: (message: SuspectsMessage) => void;
	/** Somebody told of members. */
	onMembers: (members: Member[]) => void;
};

/** Takes a message, and may send one back on the same link. */
export type UpdateHandler = (message: PeerMessage, reply: Reply) => void;

/** Milliseconds after which another node is asked for a configuration. */
const answerTime = 300;

/** Creates the handler. */
export function createUpdateHandler(
	options: UpdateHandlerOptions,
): UpdateHandler {
	const {clock, follower} = options;
	/** Nodes that have a newer configuration, in the order in which they told so. */
	let providers: Array<{version: number; ask: () => void}> = [];
	let timer: Timer | undefined;

	const ownVersion = () => follower.current()?.version ?? 0;

	/** One peer at a time: after a start every link announces the same version, and the body is much longer than its number. */
	const askNext = () => {
		providers = providers.filter(({version}) => version > ownVersion());
		const provider = providers.shift();
		timer = provider && clock.setTimer(answerTime, askNext);
		provider?.ask();
	};

	const compareVersions = (version: number, reply: Reply) => {
		if (version <= ownVersion()) {
			return;
		}

		providers.push({
			version,
			ask() {
				reply({kind: 'configurationWanted'});
			},
		});
		if (timer === undefined) {
			askNext();
		}
	};

	const handlers: {
		[Kind in PeerMessage['kind']]?: (
			message: Extract<PeerMessage, {kind: Kind}>,
			reply: Reply,
		) => void;
	} = {
		hello({member, configurationVersion}, reply) {
			options.onHello(member);
			compareVersions(configurationVersion, reply);
		},
		members({members}) {
			options.onMembers(members);
		},
		quotaUse: options.onQuotaUse,
		quotaGrant: options.onQuotaGrant,
		suspects: options.onSuspects,
		version({version}, reply) {
			compareVersions(version, reply);
		},
		configurationWanted(_message, reply) {
			const configuration = follower.current();
			if (configuration) {
				reply({kind: 'configuration', configuration});
			}
		},
		configuration({configuration}) {
			follower.offer(configuration);
		},
	};

	return (message, reply) => {
		handlers[message.kind]?.(message as never, reply);
	};
}
