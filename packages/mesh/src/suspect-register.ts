/**
 * What must outlast the nodes of the requests that crash targets.
 *
 * Each node keeps one row with the suspects that it noted itself, so that a
 * data centre that is cut off from the others, and a fleet that starts anew,
 * know them all the same. A few nodes follow the table and tell the rest.
 */
import {
	createLocalSuspects,
	createRowWriter,
	parseLocalSuspects,
	type Suspect,
} from '@egretspoke/quarantine';
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import {turnPeriod} from './configuration-follower.js';
import type {MeshReporter} from './mesh-reporter.js';
import type {RowStore, StoredRow} from './row-store.js';
import {followTable} from './table-feed.js';

/** What a register needs. */
export type SuspectRegisterOptions = {
	store: RowStore;
	/** The key of this node's row. */
	node: string;
	clock: Clock;
	random: Random;
	reporter: MeshReporter;
	/** Whether this node is to follow the table, or leaves it to peers. */
	isFollower: () => boolean;
	/** Suspects that other nodes noted, or an earlier start of this one. */
	onSuspects: (suspects: Suspect[]) => void;
};

/** The register. */
export type SuspectRegister = {
	/** Keeps suspects beyond the life of this process. */
	note(suspects: readonly Suspect[]): void;
	/** Writes what was noted, and follows what others note, until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
};

const table = 'suspects';
/** Milliseconds after its start in which a node hears from its peers whether it is to follow. */
const startDelay = 1000;

/** Creates a register. */
export function createSuspectRegister(
	options: SuspectRegisterOptions,
): SuspectRegister {
	const {store, node, clock, random, reporter} = options;
	const noted = createLocalSuspects(clock);
	let version = 0;

	const writeOnce = async (): Promise<boolean> => {
		const result = await store.write(
			{table, key: node, value: noted.serialize()},
			version,
		);
		if (result.isOk()) {
			version = result.value;
			return true;
		}

		if (result.error.kind === 'conflict') {
			const {current} = result.error;
			version = current?.version ?? 0;
			noted.restore(current ? decode(current) : []);
		}

		return false;
	};

	const decode = ({key, value}: StoredRow): Suspect[] => {
		const suspects = parseLocalSuspects(value, clock);
		if (!suspects) {
			reporter.notice('meshRowMalformed', {key});
		}

		return suspects ?? [];
	};

	const waitForTurn = async (signal: AbortSignal) => {
		while (!signal.aborted && !options.isFollower()) {
			// eslint-disable-next-line no-await-in-loop -- one look a period.
			await sleep(clock, turnPeriod, signal);
		}
	};

	const writer = createRowWriter({clock, random, write: writeOnce});

	return {
		note(suspects) {
			noted.record(suspects);
			writer.request();
		},
		async run(signal) {
			writer.start(signal);
			await sleep(clock, startDelay, signal);
			await followTable(
				{
					store,
					table,
					clock,
					random,
					waitForTurn,
					onRows(rows) {
						const present = rows.filter(({isRemoved}) => !isRemoved);
						options.onSuspects(present.flatMap((row) => decode(row)));
					},
					// The follower of configurations tells of a lost store.
					onCalled: () => undefined,
				},
				signal,
			);
		},
	};
}
