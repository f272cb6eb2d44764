/**
 * Keeps the newest accepted configuration in force at this node.
 *
 * It comes by the store's feed and from peers: some nodes follow the feed for
 * all (`feed-followers.ts`), and the store may refuse this node, or its feed may
 * have gone silent. A version is taken only if it is
 * newer than the one in force: news that travel over several ways arrive out
 * of order, and callers would see a change come and go.
 */
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import type {Result} from 'neverthrow';
import type {MeshReporter} from './mesh-reporter.js';
import type {RoutingConfiguration} from './route.js';
import type {
	RowAddress,
	RowStore,
	StoredRow,
	StoreFailure,
} from './row-store.js';
import {followTable} from './table-feed.js';

/** What a follower needs. */
export type ConfigurationFollowerOptions = {
	store: RowStore;
	/** The row that holds the newest configuration whole. */
	row: RowAddress;
	decode: (value: string) => Result<RoutingConfiguration, string>;
	clock: Clock;
	random: Random;
	/** Milliseconds that peers are given to bring a configuration before the store is asked. */
	startDelay: number;
	/** Whether this node is to follow the feed, or leaves it to peers. */
	isFollower: () => boolean;
	/** The node has begun or ceased to follow. */
	onFollowingChange: () => void;
	reporter: MeshReporter;
	/** A newer version is in force. */
	onApplied: (configuration: RoutingConfiguration) => void;
};

/** The follower. */
export type ConfigurationFollower = {
	current(): RoutingConfiguration | undefined;
	/** Takes what a peer sent, if it is newer. */
	offer(configuration: RoutingConfiguration): void;
	/** Whether this node follows the feed and the store serves it. */
	isFollowing(): boolean;
	/** Follows the feed until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
};

/** Milliseconds between two looks at whether this node is to follow. */
export const followerCheckInterval = 1000;

/** Creates a follower that knows no configuration. */
export function createConfigurationFollower(
	options: ConfigurationFollowerOptions,
): ConfigurationFollower {
	const {store, row, clock, random, reporter} = options;
	let current: RoutingConfiguration | undefined;
	let isStoreLost = false;
	let hasTurn = false;
	let wasFollowing = false;
	let onFirst: () => void = () => undefined;

	const take = (
		configuration: RoutingConfiguration,
		source: 'store' | 'peer',
	) => {
		if (current && configuration.version <= current.version) {
			return;
		}

		current = configuration;
		reporter.notice('configurationTaken', {
			version: configuration.version,
			source,
		});
		options.onApplied(configuration);
		onFirst();
	};

	const takeRows = (rows: StoredRow[]) => {
		for (const {key, value, isRemoved} of rows) {
			if (key !== row.key || isRemoved) {
				continue;
			}

			options.decode(value).match(
				(configuration) => {
					take(configuration, 'store');
				},
				(detail) => {
					reporter.notice('configurationRefused', {version: 0, detail});
				},
			);
		}
	};

	const noteStore = (failure: StoreFailure | undefined) => {
		const isLost = failure !== undefined && failure.kind !== 'forgotten';
		if (isLost !== isStoreLost) {
			isStoreLost = isLost;
			if (isLost) {
				reporter.notice('platformUnreachable', {detail: describe(failure)});
			} else {
				reporter.notice('platformReachable');
			}
		}
	};

	/** After a restart peers have the configuration, and bring it sooner than they could be asked twice. */
	const waitForPeers = async (signal: AbortSignal) => {
		const isTaken = new Promise<void>((resolve) => {
			onFirst = resolve;
		});
		await Promise.race([isTaken, sleep(clock, options.startDelay, signal)]);
	};

	const isFollowing = () => hasTurn && !isStoreLost;

	const tellFollowing = () => {
		if (isFollowing() !== wasFollowing) {
			wasFollowing = isFollowing();
			options.onFollowingChange();
		}
	};

	const waitForTurn = async (signal: AbortSignal) => {
		while (!signal.aborted && !options.isFollower()) {
			hasTurn = false;
			tellFollowing();
			// eslint-disable-next-line no-await-in-loop -- one look a period.
			await sleep(clock, followerCheckInterval, signal);
		}

		hasTurn = !signal.aborted;
		tellFollowing();
	};

	return {
		current: () => current,
		isFollowing,
		offer(configuration) {
			take(configuration, 'peer');
		},
		async run(signal) {
			await waitForPeers(signal);
			await followTable(
				{
					store,
					table: row.table,
					clock,
					random,
					waitUntilFollower: waitForTurn,
					onRows: takeRows,
					onResult(failure) {
						noteStore(failure);
						tellFollowing();
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
