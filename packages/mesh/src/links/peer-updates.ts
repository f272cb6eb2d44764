/** Handles updates that may arrive on either side of a link, such as members and configuration versions. */
import {runDetached, type Clock, type VersionTracker} from '@egretspoke/shared';
import type {ConfigurationFollower} from '../configuration/configuration-follower.js';
import {createConfigurationProviders} from '../configuration/configuration-providers.js';
import type {MeshReporter} from '../mesh-reporter.js';
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

/** Sends a message on the link of the handled one; returns false if that link no longer exists. */
export type Reply = (message: PeerMessage) => boolean;

/** Options of `createUpdateHandler`. */
export type UpdateHandlerOptions = {
	clock: Clock;
	follower: Pick<ConfigurationFollower, 'current' | 'offer' | 'refresh'>;
	versions: Pick<VersionTracker, 'recordReport'>;
	reporter: Pick<MeshReporter, 'notice'>;
	/** Called with the member of each hello; returns the later start that it is known with at another place, if any. */
	onHello: (member: Member) => Member | undefined;
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

/** Handles a message of the node `from`, and may reply on the same link. */
export type UpdateHandler = (
	message: PeerMessage,
	reply: Reply,
	from: string,
) => void;

/** Creates a handler for updates. */
export function createUpdateHandler(
	options: UpdateHandlerOptions,
): UpdateHandler {
	const {follower} = options;
	const ownVersion = () => follower.current()?.version ?? 0;
	const providers = createConfigurationProviders({
		clock: options.clock,
		ownVersion,
		onUnanswered() {
			void runDetached(follower.refresh(), (error) => {
				options.reporter.notice('unexpectedError', {detail: String(error)});
			});
		},
		reporter: options.reporter,
	});

	const compareVersions = (version: number, send: Reply, node: string) => {
		options.versions.recordReport(node, version);
		if (version <= ownVersion()) {
			return;
		}

		providers.add({node, version, send});
	};

	const handlers: {
		[Kind in PeerMessage['kind']]?: (
			message: Extract<PeerMessage, {kind: Kind}>,
			reply: Reply,
			from: string,
		) => void;
	} = {
		hello({member, configurationVersion}, reply, from) {
			const displacing = options.onHello(member);
			if (displacing) {
				reply({kind: 'members', members: [displacing]});
			}

			compareVersions(configurationVersion, reply, from);
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
		version({version}, reply, from) {
			compareVersions(version, reply, from);
		},
		configurationWanted(_message, reply) {
			const configuration = follower.current();
			if (configuration) {
				reply({kind: 'configuration', configuration});
			}
		},
		configuration({configuration}, _reply, from) {
			follower.offer(configuration, from);
			providers.recordAnswer(from);
		},
	};

	return (message, reply, from) => {
		handlers[message.kind]?.(message as never, reply, from);
	};
}
