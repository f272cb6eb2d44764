/** Control of one node: configuration, membership and the functions for operators. */
import {isDeepStrictEqual} from 'node:util';
import type {
	AcknowledgementMessage,
	Member,
	ProbeMessage,
	TargetAnnouncement,
} from '@egretspoke/protocol';
import type {Platform} from '@egretspoke/storage';
import {
	runDetached,
	sleep,
	type Clock,
	type LoopSupervisor,
	type Random,
} from '@egretspoke/shared';
import type {AcceptanceRule} from './configuration-acceptance.js';
import {
	createConfigurationWatch,
	type ConfigurationWatch,
} from './configuration-watch.js';
import {
	targetIntentOf,
	type Configuration,
	type ConfigurationBody,
} from './configuration.js';
import {
	createMembership,
	type MembershipService,
} from './membership-service.js';
import type {MembershipTiming} from './membership-timing.js';
import type {MergeRule} from './membership.js';
import {
	createOperatorService,
	type OperatorService,
} from './operator-service.js';
import type {SendProbe} from './probe-exchange.js';
import {createSeedRows} from './seed-rows.js';
import {rethrow, type OnTaskFailure} from './task-failure.js';

/** Dependencies and settings of control. */
export type ControlOptions = {
	/** The initial own record: state `joining`, version 0, heartbeat 0. */
	self: Member;
	platform: Platform;
	clock: Clock;
	random: Random;
	/** Sends a probe to a peer listener. */
	send: SendProbe;
	/** Sends `configurationRequest` to a peer listener; undefined when it returns no body. */
	fetchConfiguration: (
		address: string,
	) => Promise<ConfigurationBody | undefined>;
	/** Seed addresses from the settings, for a start without the platform. */
	peers?: string[];
	timing?: Partial<MembershipTiming>;
	/** Interval between reads of the head row, in milliseconds. */
	readInterval?: number;
	/** Replaced in tests only. */
	acceptance?: AcceptanceRule;
	isNewer?: MergeRule;
	/** Called when a task in the background that nothing awaits has failed; the next one is due as usual. */
	onFailure?: OnTaskFailure;
};

/** Control as the rest of the node uses it. */
export type Control = OperatorService & {
	configuration: ConfigurationWatch;
	membership: MembershipService;
	/** Applies a received probe and returns its acknowledgement. */
	receiveProbe(probe: ProbeMessage): AcknowledgementMessage;
	/** Announces the local target, or its end; an unchanged announcement sends nothing. */
	announceTarget(target: TargetAnnouncement | undefined): void;
	/** Announces at once that the target takes no new work. */
	leave(): void;
	/**
	 * Loads members and configuration, announces `active` and resolves. The
	 * background tasks are children of the supervisor. Never rejects.
	 */
	start(supervisor: LoopSupervisor): Promise<void>;
	/** Announces `gone` and removes the seed row; to be called at the end of a drain. */
	end(): Promise<void>;
};

/** Milliseconds between two attempts to find members while none is known. */
const isolatedDiscoveryInterval = 2000;

/** Milliseconds between two reads of the seed rows otherwise. */
const discoveryInterval = 300_000;

/** Maximum time that a start waits for the platform and peers, in milliseconds. */
const startTimeout = 3000;

/** Creates the control of one node; sends nothing before `start`. */
export function createControl(options: ControlOptions): Control {
	const {
		platform,
		clock,
		random,
		send,
		fetchConfiguration,
		peers = [],
		onFailure = rethrow,
	} = options;
	const configuration = createConfigurationWatch({
		...options,
		...(options.readInterval !== undefined && {interval: options.readInterval}),
	});
	const membership = createMembership({
		...options,
		send,
		onPeerVersion(version, address) {
			const fetching = configuration.receiveVersion(
				version,
				async () => fetchConfiguration(address),
				address,
			);
			void runDetached(trackFetch(fetching), (error) => {
				onFailure('fetch', error);
			});
		},
	});
	const seeds = createSeedRows({
		platform,
		clock,
		random,
		self: membership.self,
	});
	const pendingFetches = new Set<Promise<void>>();
	let isLeavingByIntent = false;

	const trackFetch = async (fetching: Promise<void>) => {
		pendingFetches.add(fetching);
		try {
			await fetching;
		} finally {
			pendingFetches.delete(fetching);
		}
	};

	const applyConfiguration = (accepted: Configuration) => {
		const {node, state} = membership.self();
		const intent = targetIntentOf(accepted, node);
		const isRejoin = isLeavingByIntent && intent !== 'leave';
		const isAcceptingWork = state === 'active' || state === 'joining';
		const {version} = accepted;
		if (intent === 'leave' && isAcceptingWork) {
			isLeavingByIntent = true;
			membership.announce({state: 'leaving', configurationVersion: version});
		} else if (isRejoin && state === 'leaving') {
			isLeavingByIntent = false;
			membership.announce({state: 'active', configurationVersion: version});
		} else {
			membership.announce({configurationVersion: version});
		}
	};

	void configuration.accepted.observe(applyConfiguration);

	const discoverMembers = async () => {
		const rows = await seeds.list();
		return membership.join([...rows, ...peers]);
	};

	/** A start waits for this, so that the node serves with the highest version available. */
	const learn = async () => {
		await Promise.all([
			configuration.readPlatform(),
			membership.join(peers),
			discoverMembers(),
		]);
		// A failed one is reported where it was started.
		await Promise.allSettled(pendingFetches);
	};

	const isIsolated = () =>
		membership
			.members()
			.every(
				({state, node}) => node === membership.self().node || state === 'gone',
			);

	const discoverPeriodically = async (signal: AbortSignal) => {
		while (!signal.aborted) {
			const wait = isIsolated() ? isolatedDiscoveryInterval : discoveryInterval;
			// eslint-disable-next-line no-await-in-loop -- one read after another.
			await sleep(clock, wait * (0.8 + 0.4 * random.fraction()), signal);
			// eslint-disable-next-line no-await-in-loop -- one read after another.
			await discoverMembers();
		}
	};

	return {
		...createOperatorService({...options, configuration, membership}),
		configuration,
		membership,
		receiveProbe: membership.receive,
		announceTarget(target) {
			if (!isDeepStrictEqual(target, membership.self().target)) {
				membership.announce({target});
			}
		},
		leave() {
			isLeavingByIntent = false;
			membership.announce({state: 'leaving'});
		},
		async start(supervisor) {
			membership.start(supervisor);
			supervisor.startLoop('configuration', configuration.run);
			supervisor.startLoop('seedRow', seeds.run);
			supervisor.startLoop('discovery', discoverPeriodically);
			const learned = new Promise<void>((resolve) => {
				supervisor.start('learn', async () => {
					await learn();
					resolve();
				});
			});
			await Promise.race([
				learned,
				sleep(clock, startTimeout, supervisor.signal),
			]);
			if (membership.self().state === 'joining') {
				membership.announce({state: 'active'});
			}
		},
		async end() {
			membership.announce({state: 'gone'});
			await Promise.all([membership.gossip(), seeds.remove()]);
		},
	};
}
