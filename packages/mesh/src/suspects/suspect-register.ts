/**
 * Persists the requests that crash targets, so that they outlast the nodes.
 *
 * Each node writes one row with the suspects that it recorded itself, so that a
 * data centre that is cut off from the others, and a fleet that restarts, still
 * have them. A few nodes follow the table and notify the others.
 */
import {
	createLocalSuspects,
	createRowWriter,
	parseLocalSuspects,
	type Suspect,
} from '@egretspoke/quarantine';
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import {createLimitedNotices} from '../limited-notices.js';
import type {MeshReporter} from '../mesh-reporter.js';
import type {RowStore, StoredRow} from '../configuration/row-store.js';
import {feedWait, followTable} from '../configuration/table-feed.js';

/** Options of `createSuspectRegister`. */
export type SuspectRegisterOptions = {
	store: RowStore;
	/** The key of this node's row. */
	node: string;
	clock: Clock;
	random: Random;
	reporter: MeshReporter;
	/** Whether this node should follow the table instead of relying on peers. */
	isFollower: () => boolean;
	/** Receives suspects that other nodes, or an earlier start of this one, recorded. */
	onSuspects: (suspects: Suspect[]) => void;
};

/** The register of suspects. */
export type SuspectRegister = {
	/** Persists suspects, so that they outlast this process. */
	record(suspects: readonly Suspect[]): void;
	/** Writes the recorded suspects, and follows those of other nodes, until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
};

const table = 'suspects';
/**
 * Milliseconds to wait after the start for the states of peers, which decide
 * whether this node follows the table.
 */
const startDelay = 1000;
/** Maximum characters of a row, which holds a bounded number of suspects. */
const maxRowLength = 32_768;
/** Milliseconds between two checks whether this node should follow the table. */
const followerCheckInterval = 1000;

/** Creates a register that has not started. */
export function createSuspectRegister(
	options: SuspectRegisterOptions,
): SuspectRegister {
	const {store, node, clock, random} = options;
	const reportSkipped = createLimitedNotices(clock, (key: string) => {
		options.reporter.notice('meshRowMalformed', {
			table,
			key,
			detail: 'not a list of suspects',
		});
	});
	const recorded = createLocalSuspects(clock);
	let version = 0;

	const writeOnce = async (): Promise<boolean> => {
		const result = await store.write(
			{table, key: node, value: recorded.serialize()},
			version,
		);
		if (result.isOk()) {
			version = result.value;
			return true;
		}

		if (result.error.kind === 'conflict') {
			const {current} = result.error;
			version = current?.version ?? 0;
			recorded.restore(current ? decode(current) : []);
		}

		return false;
	};

	const decode = ({key, value}: StoredRow): Suspect[] => {
		const suspects = parseLocalSuspects(value, clock);
		if (!suspects) {
			reportSkipped(key);
		}

		return suspects ?? [];
	};

	const waitUntilFollower = async (signal: AbortSignal) => {
		let hasWaited = false;
		while (!signal.aborted && !options.isFollower()) {
			hasWaited = true;
			// eslint-disable-next-line no-await-in-loop -- one check per interval.
			await sleep(clock, followerCheckInterval, signal);
		}

		return hasWaited;
	};

	const writer = createRowWriter({clock, random, write: writeOnce});

	return {
		record(suspects) {
			recorded.record(suspects);
			writer.request();
		},
		async run(signal) {
			writer.start(signal);
			await sleep(clock, startDelay, signal);
			await followTable(
				{
					store,
					table,
					maxValue: maxRowLength,
					clock,
					random,
					wait: feedWait,
					// Nodes report new suspects to each other as well.
					isFirstFollower: () => false,
					nextCheck: async (feedSignal) =>
						sleep(clock, followerCheckInterval, feedSignal),
					waitUntilFollower,
					onRows(rows) {
						const present = rows.filter(({isRemoved}) => !isRemoved);
						options.onSuspects(present.flatMap((row) => decode(row)));
					},
					// The configuration follower reports an unreachable store.
					onResult: () => undefined,
				},
				signal,
			);
		},
	};
}
