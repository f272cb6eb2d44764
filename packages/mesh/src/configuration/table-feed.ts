/** Reads a table of the store and then follows its feed of changes. */
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import type {RowStore, StoredRow, StoreFailure} from './row-store.js';

/** Options of `followTable`. */
export type TableFeedOptions = {
	store: Pick<RowStore, 'read' | 'changes'>;
	table: string;
	clock: Clock;
	random: Random;
	/** Resolves when this node should make the next call. */
	waitUntilFollower: (signal: AbortSignal) => Promise<void>;
	onRows: (rows: StoredRow[]) => void;
	/** Called after each call, before its rows are passed on. */
	onResult: (failure: StoreFailure | undefined) => void;
};

/**
 * Bounds of the time, in milliseconds, for which a call of the feed waits for a
 * change. A feed whose connection has stalled is detected only after this wait.
 * Each node draws a random wait to spread the calls of the fleet, so that there
 * is always a recent call, whose node notifies the others.
 */
const minWait = 6000;
const maxWait = 10_000;
/** Milliseconds between a failed call and the next one; doubled up to the maximum. */
const initialBackoff = 200;
const maxBackoff = 1000;

/** Follows the table until the signal aborts. */
export async function followTable(
	{store, table, clock, random, ...options}: TableFeedOptions,
	signal: AbortSignal,
): Promise<void> {
	let position: number | undefined;
	let pause = initialBackoff;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- calls only while this node is selected to follow.
		await options.waitUntilFollower(signal);
		if (signal.aborted) {
			return;
		}

		const wait = minWait + random.fraction() * (maxWait - minWait);
		// eslint-disable-next-line no-await-in-loop -- each call continues from the version of the previous one.
		const result = await (position === undefined
			? store.read(table)
			: store.changes(table, position, wait));
		options.onResult(result.isErr() ? result.error : undefined);
		if (result.isOk()) {
			position = result.value.version;
			pause = initialBackoff;
			options.onRows(result.value.rows);
			continue;
		}

		if (result.error.kind === 'forgotten') {
			position = undefined;
			continue;
		}

		// eslint-disable-next-line no-await-in-loop -- backoff between two attempts.
		await sleep(clock, pause * (0.5 + random.fraction()), signal);
		pause = Math.min(maxBackoff, pause * 2);
	}
}
