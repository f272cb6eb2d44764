/**
 * Keeps the newest accepted configuration in force at this node.
 *
 * Configurations arrive from the store's feed and from peers: only some nodes
 * follow the feed (`feed-followers.ts`), the store may refuse this node, and
 * its feed may stall. A version is applied only if it is newer than the one in
 * force. Updates from several sources arrive out of order, and callers would
 * otherwise see a change applied and reverted.
 */
import {
	sleep,
	type Clock,
	type Random,
	type VersionTracker,
} from '@egretspoke/shared';
import type {Result} from 'neverthrow';
import type {MeshReporter} from '../mesh-reporter.js';
import type {Ticker} from '../timing/ticker.js';
import type {ConfigurationFault, RoutingConfiguration} from './route.js';
import type {
	RowAddress,
	RowStore,
	StoredRow,
	StoreFailure,
} from './row-store.js';
import {followTable, watchedFeedWait} from './table-feed.js';

/** Options of `createConfigurationFollower`. */
export type ConfigurationFollowerOptions = {
	store: RowStore;
	/** The row that holds the complete newest configuration. */
	row: RowAddress;
	decode: (value: string) => Result<RoutingConfiguration, ConfigurationFault>;
	clock: Clock;
	random: Random;
	/** Milliseconds to wait for a configuration from peers before the store is read. */
	startDelay: number;
	ticker: Pick<Ticker, 'schedule'>;
	/** Whether this node should follow the feed instead of relying on peers. */
	isFollower: () => boolean;
	/** Whether no follower that this node is linked to precedes it. */
	isFirstFollower: () => boolean;
	/** Called when the node starts or stops following the feed. */
	onFollowingChange: () => void;
	reporter: MeshReporter;
	versions: Pick<VersionTracker, 'recordReport' | 'recordApplied'>;
	/** Called with each newer version, once it is in force. */
	onApplied: (configuration: RoutingConfiguration) => void;
};

/** Provides the configuration in force. */
export type ConfigurationFollower = {
	current(): RoutingConfiguration | undefined;
	/** Applies a configuration of another node, if it is newer. */
	offer(configuration: RoutingConfiguration, from: string): void;
	/** Reads the store once, unless such a read is in progress; called when a newer version was reported and not received. */
	refresh(): Promise<void>;
	/** Whether this node follows the feed and the store serves it. */
	isFollowing(): boolean;
	/** Follows the feed until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
};

/** The name of the store as a source of versions. */
const storeSource = 'store';

/** Milliseconds between two checks whether this node should follow the feed. */
const followerCheckInterval = 200;

/** Creates a follower without a configuration. */
export function createConfigurationFollower(
	options: ConfigurationFollowerOptions,
): ConfigurationFollower {
	const {store, row, clock, random, reporter, versions} = options;
	let current: RoutingConfiguration | undefined;
	let isStoreUnreachable = false;
	let isSelected = false;
	let wasFollowing = false;
	let isRefreshing = false;
	/** The last configuration that could not be decoded; it is logged once. */
	let refused: {version: number; detail: string} | undefined;
	let onFirstApplied: () => void = () => undefined;
	/** Called at each check whether this node should follow the feed. */
	let onCheck: () => void = () => undefined;
	/** Called when a newer version has come into force that another node has sent. */
	let onPeerChange: () => void = () => undefined;

	const apply = (configuration: RoutingConfiguration, source: string) => {
		const {version} = configuration;
		if (current && version <= current.version) {
			versions.recordReport(source, version);
			return;
		}

		current = configuration;
		reporter.notice(
			'configurationTaken',
			versions.recordApplied(source, version),
		);
		options.onApplied(configuration);
		onFirstApplied();
		if (source !== storeSource) {
			onPeerChange();
		}
	};

	/** The last valid version stays in force; the metrics show that a newer one was reported. */
	const refuse = ({version = 0, detail}: ConfigurationFault) => {
		versions.recordReport(storeSource, version);
		if (refused?.version !== version || refused.detail !== detail) {
			refused = {version, detail};
			reporter.notice('configurationRefused', refused);
		}
	};

	const applyRows = (rows: StoredRow[]) => {
		for (const {key, value, isRemoved} of rows) {
			if (key !== row.key || isRemoved) {
				continue;
			}

			options.decode(value).match((configuration) => {
				apply(configuration, storeSource);
			}, refuse);
		}
	};

	const recordStoreResult = (failure: StoreFailure | undefined) => {
		const isUnreachable = failure !== undefined && failure.kind !== 'forgotten';
		if (isUnreachable !== isStoreUnreachable) {
			isStoreUnreachable = isUnreachable;
			if (isUnreachable) {
				reporter.notice('platformUnreachable', {detail: describe(failure)});
			} else {
				reporter.notice('platformReachable');
			}
		}
	};

	/** After a restart, peers have the configuration and send it in less time than two requests need. */
	const waitForPeers = async (signal: AbortSignal) => {
		const firstApplied = new Promise<void>((resolve) => {
			onFirstApplied = resolve;
		});
		await Promise.race([
			firstApplied,
			sleep(clock, options.startDelay, signal),
		]);
	};

	const isFollowing = () => isSelected && !isStoreUnreachable;

	const notifyFollowingChange = () => {
		if (isFollowing() !== wasFollowing) {
			wasFollowing = isFollowing();
			options.onFollowingChange();
		}
	};

	const nextCheck = async (signal: AbortSignal) =>
		new Promise<void>((resolve) => {
			onCheck = resolve;
			if (signal.aborted) {
				resolve();
			}
		});

	const nextPeerChange = async (signal: AbortSignal) =>
		new Promise<void>((resolve) => {
			onPeerChange = resolve;
			signal.addEventListener('abort', () => {
				resolve();
			});
		});

	const waitUntilFollower = async (signal: AbortSignal) => {
		const hasWaited = !options.isFollower();
		while (!signal.aborted && !options.isFollower()) {
			isSelected = false;
			notifyFollowingChange();
			// eslint-disable-next-line no-await-in-loop -- one check per interval.
			await nextCheck(signal);
		}

		isSelected = !signal.aborted;
		notifyFollowingChange();
		return hasWaited;
	};

	options.ticker.schedule(followerCheckInterval, () => {
		onCheck();
	});

	return {
		current: () => current,
		isFollowing,
		offer: apply,
		async refresh() {
			if (isRefreshing) {
				return;
			}

			isRefreshing = true;
			try {
				const result = await store.read(row.table);
				if (result.isOk()) {
					versions.recordReport(storeSource, current?.version ?? 0);
					applyRows(result.value.rows);
				}
			} finally {
				isRefreshing = false;
			}
		},
		async run(signal) {
			signal.addEventListener('abort', () => {
				onCheck();
			});
			await waitForPeers(signal);
			await followTable(
				{
					store,
					table: row.table,
					clock,
					random,
					wait: watchedFeedWait,
					isFirstFollower: options.isFirstFollower,
					nextCheck,
					nextPeerChange,
					waitUntilFollower,
					onRows: applyRows,
					onResult(failure) {
						if (!failure) {
							versions.recordReport(storeSource, current?.version ?? 0);
						}

						recordStoreResult(failure);
						notifyFollowingChange();
					},
				},
				signal,
			);
		},
	};
}

function describe(failure: StoreFailure): string {
	return 'detail' in failure ? failure.detail : failure.kind;
}
