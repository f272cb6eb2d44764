/**
 * Maintains the configuration in force at one node. The node detects a new
 * version in two ways: it reads the head row periodically, and it fetches the body
 * from a peer whose probe carries a higher version number. During an outage of the
 * platform the last accepted version stays in force.
 */
import type {NodeStatus} from '@egretspoke/protocol';
import type {Platform} from '@egretspoke/storage';
import {
	createSubject,
	createVersionTracker,
	runDetached,
	sleep,
	type Clock,
	type Random,
	type VersionReadings,
} from '@egretspoke/shared';
import type {Stream} from 'most';
import type {Result} from 'neverthrow';
import {
	acceptanceRules,
	type AcceptanceRule,
	type Rejection,
} from './configuration-acceptance.js';
import {readHead, readVersion} from './configuration-store.js';
import {
	defaultConfiguration,
	type Configuration,
	type ConfigurationBody,
} from './configuration.js';
import {rethrow, type OnTaskFailure} from './task-failure.js';

/** Where the version in force came from. */
export type ConfigurationSource = NodeStatus['configuration']['source'];

/** Whether the last read of the platform succeeded. */
export type PlatformState = NodeStatus['platform'];

/** An offered body that was rejected, except for an old version. */
export type RejectedBody = {
	version: number;
	source: ConfigurationSource;
	reason: Rejection;
};

/** The platform became reachable or unreachable; `detail` describes the failure. */
export type PlatformChange = {state: PlatformState; detail?: string};

/** The configuration in force and the operations that change it. */
export type ConfigurationWatch = {
	/** Emits each configuration when it comes into force. */
	accepted: Stream<Configuration>;
	/** Emits damaged or malformed bodies, for the log and its counter. */
	rejected: Stream<RejectedBody>;
	/** Emits each change of `platformState`, including the result of the first read. */
	platformChanges: Stream<PlatformChange>;
	current(): Configuration;
	source(): ConfigurationSource;
	platformState(): PlatformState;
	/** The version in force, and what the platform and other nodes last reported. */
	versions(): VersionReadings;
	/** The body to send to a peer that requests it; undefined for the defaults. */
	body(): ConfigurationBody | undefined;
	/** Puts the body in force if the acceptance rule allows it. */
	offer(
		body: ConfigurationBody,
		source: ConfigurationSource,
	): Result<Configuration, Rejection>;
	/** Handles the version number of the peer `from`; `fetch` requests the body from that peer. */
	receiveVersion(
		version: number,
		fetch: () => Promise<ConfigurationBody | undefined>,
		from?: string,
	): Promise<void>;
	/** Reads the head row once, and the body if its version is higher. */
	readPlatform(): Promise<void>;
	/** Reads the platform periodically until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
};

/** Dependencies and settings of the watch; `interval` is in milliseconds between two reads. */
export type ConfigurationWatchOptions = {
	platform: Platform;
	clock: Clock;
	random: Random;
	interval?: number;
	/** Replaced in tests only. */
	acceptance?: AcceptanceRule;
	/** Called when a read in the background that nothing awaits has failed. */
	onFailure?: OnTaskFailure;
};

/**
 * Milliseconds between reads of the head row. With 570 nodes, 2 s makes 285 of
 * the 2,000 reads per second that the table allows, and a change is in force
 * within 2.4 s plus two reads, below the guaranteed 4 s.
 */
const defaultInterval = 2000;

/** Each wait is drawn from 0.8 to 1.2 intervals, so that the nodes' reads are not synchronized. */
const jitter = 0.2;
/** The shortest pause after a read that took long, in intervals. */
const minPause = 0.1;

/** Maximum number of concurrent body requests to peers; a version above all of these is fetched regardless. */
const maxConcurrentFetches = 2;

/**
 * Milliseconds after which a request to a peer no longer counts as concurrent, and
 * the platform is read: the peer may be suspended. A later answer is still taken.
 */
const fetchTimeout = 300;

/** Creates a watch with the built-in defaults in force. */
export function createConfigurationWatch(
	options: ConfigurationWatchOptions,
): ConfigurationWatch {
	const {
		platform,
		clock,
		random,
		interval: readInterval = defaultInterval,
	} = options;
	const {acceptance = acceptanceRules.higherAndWhole, onFailure = rethrow} =
		options;
	const accepted = createSubject<Configuration>();
	const rejected = createSubject<RejectedBody>();
	const platformChanges = createSubject<PlatformChange>();
	let current = defaultConfiguration;
	let source: ConfigurationSource = 'defaults';
	let platformState: PlatformState = 'unknown';
	/** Requests to peers that may still be answered soon. */
	const fetching = new Set<{version: number}>();
	const versions = createVersionTracker(clock);

	const offerFrom = (
		body: ConfigurationBody,
		from: ConfigurationSource,
		name: string,
	) => {
		const result = acceptance.accept(current, body);
		if (result.isOk()) {
			current = result.value;
			source = from;
			versions.recordApplied(name, current.version);
			accepted.push(current);
		} else if (result.error !== 'notHigher') {
			const {version} = body;
			rejected.push({version, source: from, reason: result.error});
		}

		return result;
	};

	const offer: ConfigurationWatch['offer'] = (body, from) =>
		offerFrom(body, from, from);

	const updatePlatformState = (change: PlatformChange) => {
		const isChanged = change.state !== platformState;
		platformState = change.state;
		if (isChanged) {
			platformChanges.push(change);
		}
	};

	const readPlatform = async () => {
		const head = await readHead(platform);
		updatePlatformState(
			head.isOk()
				? {state: 'reachable'}
				: {state: 'unreachable', detail: head.error.detail},
		);
		const version = head.isOk() ? head.value.value?.version : undefined;
		if (head.isOk()) {
			versions.recordReport('platform', version ?? 0);
		}

		if (version === undefined || !acceptance.isWanted(current, version)) {
			return;
		}

		const body = await readVersion(platform, version);
		if (body.isOk() && body.value) {
			offer(body.value, 'platform');
		}
	};

	return {
		current: () => current,
		source: () => source,
		platformState: () => platformState,
		accepted: accepted.stream,
		rejected: rejected.stream,
		platformChanges: platformChanges.stream,
		body() {
			const {version, checksum, text} = current;
			return version === 0 ? undefined : {version, checksum, text};
		},
		offer,
		versions: versions.readings,
		async receiveVersion(version, fetch, from = 'peer') {
			versions.recordReport(from, version);
			const isWanted = acceptance.isWanted(current, version);
			const hasCapacity = fetching.size < maxConcurrentFetches;
			const isNewest = [...fetching].every((each) => version > each.version);
			if (!isWanted || !(hasCapacity || isNewest)) {
				return;
			}

			const fetched = {version};
			fetching.add(fetched);
			const timer = clock.setTimer(fetchTimeout, () => {
				fetching.delete(fetched);
				void runDetached(readPlatform(), (error) => {
					onFailure('read', error);
				});
			});
			try {
				const body = await fetch();
				if (body) {
					offerFrom(body, 'peer', from);
				}
			} finally {
				timer.cancel();
				fetching.delete(fetched);
			}
		},
		readPlatform,
		async run(signal) {
			await sleep(clock, readInterval * random.fraction(), signal);
			while (!signal.aborted) {
				const interval =
					readInterval * (1 - jitter + 2 * jitter * random.fraction());
				const startedAt = clock.now();
				// eslint-disable-next-line no-await-in-loop -- one read after another.
				await readPlatform();
				const wait = startedAt + interval - clock.now();
				// eslint-disable-next-line no-await-in-loop -- one read after another.
				await sleep(clock, Math.max(wait, readInterval * minPause), signal);
			}
		},
	};
}
