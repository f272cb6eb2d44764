/** Control of one node, wired together: configuration, membership, operators. */
import {isDeepStrictEqual} from 'node:util';
import type {
	AcknowledgementMessage,
	Member,
	ProbeMessage,
	TargetAnnouncement,
} from '@egretspoke/protocol';
import type {Platform} from '@egretspoke/storage';
import {sleep, type Clock, type Random} from '@egretspoke/shared';
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

/** What control needs of its node. */
export type ControlOptions = {
	/** The own record at the start: state `joining`, version 0, heartbeat 0. */
	self: Member;
	platform: Platform;
	clock: Clock;
	random: Random;
	/** Sends a probe to a peer listener. */
	send: SendProbe;
	/** Sends `configurationRequest` to a peer listener; undefined when no body came. */
	fetchConfiguration: (
		address: string,
	) => Promise<ConfigurationBody | undefined>;
	/** Peer addresses from the settings; they help a start without the platform. */
	peers?: string[];
	timing?: Partial<MembershipTiming>;
	/** Milliseconds between reads of the head row. */
	readInterval?: number;
	/** Only tests take others than the defaults. */
	acceptance?: AcceptanceRule;
	isNewer?: MergeRule;
};

/** Control as its node uses it. */
export type Control = OperatorService & {
	configuration: ConfigurationWatch;
	membership: MembershipService;
	/** Answers a probe that came in. */
	receiveProbe(probe: ProbeMessage): AcknowledgementMessage;
	/** The target beside the node announced itself, or ended; repeats tell nobody. */
	announceTarget(target: TargetAnnouncement | undefined): void;
	/** The target takes no new work from now on; told to all at once. */
	leave(): void;
	/**
	 * Learns members and configuration, then says `active`; resolves then. It
	 * goes on working until the signal aborts, and never rejects.
	 */
	start(signal: AbortSignal): Promise<void>;
	/** Says `gone` and takes the seed row back; to be called at the end of a drain. */
	end(): Promise<void>;
};

/** Milliseconds between two tries of a node that knows nobody. */
const isolatedDiscoveryInterval = 2000;

/** Milliseconds between two looks at the seed rows otherwise. */
const discoveryInterval = 300_000;

/** Milliseconds for which a start waits for a platform that doesn't answer. */
const startTimeout = 3000;

/** Creates control of one node; it sends nothing before `start`. */
export function createControl(options: ControlOptions): Control {
	const {
		platform,
		clock,
		random,
		send,
		fetchConfiguration,
		peers = [],
	} = options;
	const configuration = createConfigurationWatch({
		...options,
		...(options.readInterval !== undefined && {interval: options.readInterval}),
	});
	const membership = createMembership({
		...options,
		send,
		onPeerVersion(version, address) {
			const fetching = configuration.receiveVersion(version, async () =>
				fetchConfiguration(address),
			);
			void trackFetch(fetching);
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

	const trackFetch = async (hearing: Promise<void>) => {
		pendingFetches.add(hearing);
		await hearing;
		pendingFetches.delete(hearing);
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

	/** What a start waits for, so that no older version than can be had is in force. */
	const learn = async () => {
		await Promise.all([
			configuration.readPlatform(),
			membership.join(peers),
			discoverMembers(),
		]);
		await Promise.all(pendingFetches);
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
			// eslint-disable-next-line no-await-in-loop -- one look after another.
			await sleep(clock, wait * (0.8 + 0.4 * random.fraction()), signal);
			// eslint-disable-next-line no-await-in-loop -- one look after another.
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
		async start(signal) {
			void membership.run(signal);
			void configuration.run(signal);
			void seeds.run(signal);
			void discoverPeriodically(signal);
			await Promise.race([learn(), sleep(clock, startTimeout, signal)]);
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
