/**
 * Keeps the configuration in force at one node. It learns of a version in two
 * ways: a jittered read of the head row, and peers whose probes carry a higher
 * number and who are then asked for the body. In an outage of the platform the
 * last accepted version stays in force.
 */
import type {NodeStatus} from '@egretspoke/protocol';
import type {Platform} from '@egretspoke/storage';
import {
	createSubject,
	sleep,
	type Clock,
	type Random,
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

/** Where the version in force came from. */
export type ConfigurationSource = NodeStatus['configuration']['source'];

/** Whether the last read of the platform succeeded. */
export type PlatformState = NodeStatus['platform'];

/** A body that was offered and not taken, other than an old one. */
export type RejectedBody = {
	version: number;
	source: ConfigurationSource;
	reason: Rejection;
};

/** The platform began to answer, or stopped; `detail` says how it failed. */
export type PlatformChange = {state: PlatformState; detail?: string};

/** The configuration in force and the ways by which it changes. */
export type ConfigurationWatch = {
	/** Each configuration as it comes into force. */
	accepted: Stream<Configuration>;
	/** Damaged or malformed bodies, for the log and its counter. */
	rejected: Stream<RejectedBody>;
	/** Each change of `platformState`, the first read's result included. */
	platformChanges: Stream<PlatformChange>;
	current(): Configuration;
	source(): ConfigurationSource;
	platformState(): PlatformState;
	/** What to answer to a peer's configuration request; undefined for the defaults. */
	body(): ConfigurationBody | undefined;
	/** Takes the body if the rule allows. */
	offer(
		body: ConfigurationBody,
		source: ConfigurationSource,
	): Result<Configuration, Rejection>;
	/** A peer said that it has this version; `fetch` asks that peer for the body. */
	receiveVersion(
		version: number,
		fetch: () => Promise<ConfigurationBody | undefined>,
	): Promise<void>;
	/** Reads the platform once. */
	readPlatform(): Promise<void>;
	/** Reads the platform again and again until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
};

/** What the watch needs; the period is in milliseconds. */
export type ConfigurationWatchOptions = {
	platform: Platform;
	clock: Clock;
	random: Random;
	interval?: number;
	/** Only tests take another than the default. */
	acceptance?: AcceptanceRule;
};

/**
 * Reads of the head row. At 570 nodes every 2 s are 285 reads a second of the
 * table's 2,000, and a change is in force within 2.4 s and two reads, below
 * the 4 s that are promised.
 */
const defaultInterval = 2000;

/** Each wait is drawn from 0.8 to 1.2 periods, so that nodes don't read in step. */
const jitter = 0.2;

/** Bodies asked of peers at once, unless a still higher version is told. */
const maxConcurrentFetches = 2;

/** Creates the watch with the built-in defaults in force. */
export function createConfigurationWatch(
	options: ConfigurationWatchOptions,
): ConfigurationWatch {
	const {platform, clock, random, interval: period = defaultInterval} = options;
	const {acceptance = acceptanceRules.higherAndWhole} = options;
	const accepted = createSubject<Configuration>();
	const rejected = createSubject<RejectedBody>();
	const platformChanges = createSubject<PlatformChange>();
	let current = defaultConfiguration;
	let source: ConfigurationSource = 'defaults';
	let platformState: PlatformState = 'unknown';
	const fetching: number[] = [];

	const offer: ConfigurationWatch['offer'] = (body, from) => {
		const result = acceptance.accept(current, body);
		if (result.isOk()) {
			current = result.value;
			source = from;
			accepted.push(current);
		} else if (result.error !== 'notHigher') {
			const {version} = body;
			rejected.push({version, source: from, reason: result.error});
		}

		return result;
	};

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
		async receiveVersion(version, fetch) {
			const isWanted = acceptance.isWanted(current, version);
			const hasCapacity = fetching.length < maxConcurrentFetches;
			if (!isWanted || !(hasCapacity || version > Math.max(...fetching))) {
				return;
			}

			fetching.push(version);
			try {
				const body = await fetch();
				if (body) {
					offer(body, 'peer');
				}
			} finally {
				fetching.splice(fetching.indexOf(version), 1);
			}
		},
		readPlatform,
		async run(signal) {
			await sleep(clock, period * random.fraction(), signal);
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop -- one read after another.
				await readPlatform();
				const wait = period * (1 - jitter + 2 * jitter * random.fraction());
				// eslint-disable-next-line no-await-in-loop -- one read after another.
				await sleep(clock, wait, signal);
			}
		},
	};
}
