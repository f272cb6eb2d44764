/** Reads a table of the store, and follows its feed from there on. */
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import type {RowStore, StoredRow, StoreFailure} from './row-store.js';

/** What following needs. */
export type TableFeedOptions = {
	store: Pick<RowStore, 'read' | 'changes'>;
	table: string;
	clock: Clock;
	random: Random;
	/** Resolves when this node is to make the next call. */
	waitUntilFollower: (signal: AbortSignal) => Promise<void>;
	onRows: (rows: StoredRow[]) => void;
	/** A call has ended; before its rows are told. */
	onResult: (failure: StoreFailure | undefined) => void;
};

/**
 * Milliseconds that a call of the feed waits for a change. A feed whose
 * connection has gone silent is noticed only when this is over, so each node
 * draws its own, and the calls of the fleet are spread: one of them is always
 * young, and its node tells the others.
 */
const shortestWait = 6000;
const longestWait = 10_000;
/** Milliseconds after a failed call before the next, and their most. */
const firstPause = 200;
const longestPause = 1000;

/** Follows until the signal aborts. */
export async function followTable(
	{store, table, clock, random, ...options}: TableFeedOptions,
	signal: AbortSignal,
): Promise<void> {
	let position: number | undefined;
	let pause = firstPause;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- calls only while it is this node's turn.
		await options.waitUntilFollower(signal);
		if (signal.aborted) {
			return;
		}

		const wait =
			shortestWait + random.fraction() * (longestWait - shortestWait);
		// eslint-disable-next-line no-await-in-loop -- each call starts where the last one ended.
		const result = await (position === undefined
			? store.read(table)
			: store.changes(table, position, wait));
		options.onResult(result.isErr() ? result.error : undefined);
		if (result.isOk()) {
			position = result.value.version;
			pause = firstPause;
			options.onRows(result.value.rows);
			continue;
		}

		if (result.error.kind === 'forgotten') {
			position = undefined;
			continue;
		}

		// eslint-disable-next-line no-await-in-loop -- a pause between two tries.
		await sleep(clock, pause * (0.5 + random.fraction()), signal);
		pause = Math.min(longestPause, pause * 2);
	}
}
