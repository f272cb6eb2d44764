/** Handles updates that may arrive on either side of a link, such as members and configuration versions. */
import type {Clock, Timer} from '@egretspoke/shared';
import type {ConfigurationFollower} from '../configuration/configuration-follower.js';
import type {
	FairDemandMessage,
	FairTotalsMessage,
	Member,
	PeerMessage,
	QuotaGrantMessage,
	QuotaUseMessage,
	SuspectsMessage,
	TargetMemoryMessage,
} from './peer-message.js';

type Reply = (message: PeerMessage) => void;

/** Options of `createUpdateHandler`. */
export type UpdateHandlerOptions = {
	clock: Clock;
	follower: Pick<ConfigurationFollower, 'current' | 'offer'>;
	/** Called with the member of each hello. */
	onHello: (member: Member) => void;
	/** Called when a node reports the workspace requests that it admits. */
	onQuotaUse: (message: QuotaUseMessage, reply: Reply) => void;
	/** Called when a node grants shares of quotas. */
	onQuotaGrant: (message: QuotaGrantMessage) => void;
	/** Called when a node reports the demand of workspaces on full services. */
	onFairDemand: (message: FairDemandMessage, reply: Reply) => void;
	/** Called when an allocator sends the sums of that demand. */
	onFairTotals: (message: FairTotalsMessage) => void;
	/** Called when a node reports requests under which targets crashed. */
	onSuspects: (message: SuspectsMessage) => void;
	/** Called when a node reports what it knows of the local target. */
	onTargetMemory: (message: TargetMemoryMessage) => void;
	/** Called when a node reports members. */
	onMembers: (members: Member[]) => void;
};

/** Handles a message, and may reply on the same link. */
export type UpdateHandler = (message: PeerMessage, reply: Reply) => void;

/** Milliseconds to wait for a configuration before it is requested from another node. */
const answerTimeout = 300;

/** Creates a handler for updates. */
export function createUpdateHandler(
	options: UpdateHandlerOptions,
): UpdateHandler {
	const {clock, follower} = options;
	/** Nodes with a newer configuration, in the order of their announcements. */
	let providers: Array<{version: number; request: () => void}> = [];
	let timer: Timer | undefined;

	const ownVersion = () => follower.current()?.version ?? 0;

	/** Requests from one peer at a time: after a start every link announces the same version, and the configuration is much longer than its version. */
	const requestNext = () => {
		providers = providers.filter(({version}) => version > ownVersion());
		const provider = providers.shift();
		timer = provider && clock.setTimer(answerTimeout, requestNext);
		provider?.request();
	};

	const compareVersions = (version: number, reply: Reply) => {
		if (version <= ownVersion()) {
			return;
		}

		providers.push({
			version,
			request() {
				reply({kind: 'configurationWanted'});
			},
		});
		if (timer === undefined) {
			requestNext();
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
		fairDemand: options.onFairDemand,
		fairTotals: options.onFairTotals,
		suspects: options.onSuspects,
		targetMemory: options.onTargetMemory,
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
