/**
 * The rows by which requests that crash targets are known beyond the life of a
 * node, and between data centres that are cut off from each other: one row a
 * node with what it found out itself, read by all now and then.
 */
import {
	createLocalSuspects,
	createRowWriter,
	parseLocalSuspects,
	type Suspect,
} from '@egretspoke/quarantine';
import type {Platform} from '@egretspoke/storage';
import {sleep, type Clock, type Random} from '@egretspoke/shared';

/** What the rows need. */
export type SuspectRowsOptions = {
	platform: Pick<Platform, 'table'>;
	clock: Clock;
	random: Random;
	node: string;
	/** Suspects that other nodes noted, or an earlier start of this one. */
	onSuspects: (suspects: Suspect[]) => void;
};

/** The rows. */
export type SuspectRows = {
	/** Keeps suspects beyond the life of this process. */
	note(suspects: readonly Suspect[]): void;
	/** Writes what was noted and reads what others noted, until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
};

const suspectPrefix = 'suspects/';
/** Milliseconds between two readings, by a fifth more or less. */
const readPeriod = 5000;

/** Creates the rows; nothing is read before `run`. */
export function createSuspectRows(options: SuspectRowsOptions): SuspectRows {
	const {platform, clock, random} = options;
	const noted = createLocalSuspects(clock);
	const key = `${suspectPrefix}${options.node}`;

	const writer = createRowWriter({
		clock,
		random,
		async write() {
			const rows = await platform.table.transact([
				{kind: 'put', key, value: noted.serialize()},
			]);
			return rows.isOk();
		},
	});

	/** The own row counts at the first reading only: an earlier start wrote it. */
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
				noted.restore(suspects);
			}
		}

		return true;
	};

	return {
		note(suspects) {
			noted.record(suspects);
			writer.request();
		},
		async run(signal) {
			let isFirst = true;
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop -- one reading after the other.
				const isRead = await read(isFirst);
				if (isFirst && isRead) {
					isFirst = false;
					writer.start(signal);
				}

				const wait = readPeriod * (0.8 + 0.4 * random.fraction());
				// eslint-disable-next-line no-await-in-loop -- a pause between two readings.
				await sleep(clock, wait, signal);
			}
		},
	};
}
