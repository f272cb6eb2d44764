/**
 * Rows in the platform's table that share suspects (requests that may crash
 * targets) across restarts of a node and between data centres that are
 * partitioned from each other. Each node writes one row with the suspects that it
 * found itself, and all nodes read all rows periodically.
 */
import {
	createLocalSuspects,
	createRowWriter,
	parseLocalSuspects,
	type Suspect,
} from '@egretspoke/quarantine';
import type {Platform} from '@egretspoke/storage';
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import type {OnTaskFailure} from './task-failure.js';

/** Dependencies of the suspect rows. */
export type SuspectRowsOptions = {
	platform: Pick<Platform, 'table'>;
	clock: Clock;
	random: Random;
	node: string;
	/** Called with the suspects stored by other nodes or by an earlier run of this one. */
	onSuspects: (suspects: Suspect[]) => void;
	/** Called when a write has thrown; it is retried. */
	onFailure?: OnTaskFailure;
};

/** The node's access to the suspect rows. */
export type SuspectRows = {
	/** Stores suspects, so that they outlive this process. */
	persist(suspects: readonly Suspect[]): void;
	/** Writes the own row and reads all rows, until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
};

const suspectPrefix = 'suspects/';

/** Interval between two reads in milliseconds, with a jitter of a fifth either way. */
const readInterval = 5000;

/** Creates the access to the rows; reads nothing before `run`. */
export function createSuspectRows(options: SuspectRowsOptions): SuspectRows {
	const {platform, clock, random} = options;
	const storedSuspects = createLocalSuspects(clock);
	const key = `${suspectPrefix}${options.node}`;

	const writer = createRowWriter({
		clock,
		random,
		async write() {
			const rows = await platform.table.transact([
				{kind: 'put', key, value: storedSuspects.serialize()},
			]);
			return rows.isOk();
		},
		onError(error) {
			options.onFailure?.('suspectRow', error);
		},
	});

	/** The own row is applied at the first read only, when an earlier run has written it. */
	const read = async (isFirst: boolean): Promise<boolean> => {
		const rows = await platform.table.list(suspectPrefix);
		if (rows.isErr()) {
			return false;
		}

		for (const row of rows.value) {
			const suspects = parseLocalSuspects(row.value, clock) ?? [];
			if (row.key !== key || isFirst) {
				options.onSuspects(suspects);
			}

			if (row.key === key && isFirst) {
				storedSuspects.restore(suspects);
			}
		}

		return true;
	};

	return {
		persist(suspects) {
			storedSuspects.record(suspects);
			writer.request();
		},
		async run(signal) {
			let isFirst = true;
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop -- one read after another.
				const isRead = await read(isFirst);
				if (isFirst && isRead) {
					isFirst = false;
					writer.start(signal);
				}

				const wait = readInterval * (0.8 + 0.4 * random.fraction());
				// eslint-disable-next-line no-await-in-loop -- one read after another.
				await sleep(clock, wait, signal);
			}
		},
	};
}
