/** Reads a table of the store and then follows its feed of changes. */
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import type {Result} from 'neverthrow';
import type {
	RowStore,
	StoredRow,
	StoreFailure,
	StoreSnapshot,
} from './row-store.js';

/** Options of `followTable`. */
export type TableFeedOptions = {
	store: Pick<RowStore, 'read' | 'changes'>;
	table: string;
	/** Maximum characters of a value; without it, there is no limit. */
	maxValue?: number;
	clock: Clock;
	random: Random;
	/** The wait of the calls of a node that is not the first follower. */
	wait: FeedWait;
	/** Whether this node should notice quickly that the feed has stalled. */
	isFirstFollower: () => boolean;
	/** Resolves at the next check of `isFirstFollower`, or when the signal aborts. */
	nextCheck: (signal: AbortSignal) => Promise<void>;
	/** Resolves when the next change has arrived from another node, or when the signal aborts. */
	nextPeerChange?: (signal: AbortSignal) => Promise<void>;
	/** Resolves when this node should make the next call, with whether it has made none meanwhile. */
	waitUntilFollower: (signal: AbortSignal) => Promise<boolean>;
	onRows: (rows: StoredRow[]) => void;
	/** Called after each call, before its rows are passed on, and with a failure when an answer is late. */
	onResult: (failure: StoreFailure | undefined) => void;
};

/**
 * Bounds of the time, in milliseconds, for which a call of the feed waits for a
 * change. Without other evidence, a feed whose connection has stalled is detected
 * only after this wait. Each node draws a random wait to spread the calls of the fleet.
 */
export type FeedWait = {min: number; max: number};

/** The wait of a feed whose stall nothing else shows. */
export const feedWait: FeedWait = {min: 6000, max: 10_000};
/**
 * The wait of a feed whose stall the first follower notices and the changes of
 * other nodes show. Shorter than the history that a store keeps, 20 s.
 */
export const watchedFeedWait: FeedWait = {min: 12_000, max: 18_000};
/**
 * The same for the first follower. A stall must be noticed, and the table read,
 * before a change is 2 s old: until then, all nodes may rely on this call.
 */
export const firstFollowerWait: FeedWait = {min: 1000, max: 1400};

type Snapshot = Result<StoreSnapshot, StoreFailure>;

/** Milliseconds after the end of its wait, or after a change that another node has received, at which the answer to a call is late: many times what a healthy store needs. */
export const lateAnswer = 400;
/** Milliseconds between a failed call and the next one; doubled up to the maximum. */
const initialBackoff = 200;
const maxBackoff = 1000;
/** Milliseconds before the table is read again if the store has dropped the position of the previous read as well. */
const forgottenPause = 300;

/** Follows the table until the signal aborts. */
export async function followTable(
	options: TableFeedOptions,
	signal: AbortSignal,
): Promise<void> {
	const {store, table, clock, random, onResult, isFirstFollower} = options;
	let position: number | undefined;
	let pause = initialBackoff;
	/** Whether the next call reads the table: it opens a connection of its own, while that of the feed may be dead. */
	let mustRead = true;
	/** Whether the store had dropped the position of the last call of the feed. */
	let isForgotten = false;

	/** Resolves when the wait of a call is over; for a node that becomes the first follower meanwhile, when that of a first follower is. */
	const endOfWait = async (
		startedAt: number,
		wait: number,
		signal: AbortSignal,
	) => {
		await sleep(clock, Math.min(wait, firstFollowerWait.max), signal);
		while (
			!signal.aborted &&
			clock.now() - startedAt < wait &&
			!isFirstFollower()
		) {
			// eslint-disable-next-line no-await-in-loop -- one check after the other.
			await options.nextCheck(signal);
		}
	};

	/** Resolves when the answer to a call is late: some time after its wait, or after a change that another node has received. */
	const becomesLate = async (
		startedAt: number,
		wait: number,
		signal: AbortSignal,
	) => {
		await Promise.race([
			endOfWait(startedAt, wait, signal),
			...(options.nextPeerChange ? [options.nextPeerChange(signal)] : []),
		]);
		// A timer of its own: after a stall of this process, timers run before what has arrived is read.
		await sleep(clock, lateAnswer, signal);
		return undefined;
	};

	const callOnce = async (): Promise<Snapshot> => {
		if (mustRead || position === undefined) {
			return store.read(table, options.maxValue);
		}

		const {min, max} = isFirstFollower() ? firstFollowerWait : options.wait;
		const wait = min + random.fraction() * (max - min);
		const startedAt = clock.now();
		const feed = store.changes(table, position, wait);
		const answered = new AbortController();
		const answer = await Promise.race([
			feed,
			becomesLate(startedAt, wait, answered.signal),
		]);
		answered.abort();
		if (answer) {
			return answer;
		}

		if (clock.now() - startedAt >= wait) {
			onResult({
				kind: 'unavailable',
				detail: `the feed has not answered, ${lateAnswer} ms after its wait`,
			});
		}

		return firstSuccess(feed, store.read(table, options.maxValue));
	};

	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- calls only while this node is selected to follow.
		const hasPaused = await options.waitUntilFollower(signal);
		if (signal.aborted) {
			return;
		}

		mustRead ||= hasPaused;
		// eslint-disable-next-line no-await-in-loop -- each call continues from the version of the previous one.
		const result = await callOnce();
		onResult(result.isErr() ? result.error : undefined);
		if (result.isOk()) {
			position = result.value.version;
			isForgotten &&= mustRead;
			mustRead = false;
			pause = initialBackoff;
			options.onRows(result.value.rows);
			continue;
		}

		if (result.error.kind === 'forgotten') {
			// A read that is behind the dropped history returns a position that is forgotten as well.
			const isRepeated = isForgotten;
			isForgotten = true;
			mustRead = true;
			// eslint-disable-next-line no-await-in-loop -- pause between two attempts.
			await sleep(clock, isRepeated ? forgottenPause : 0, signal);
			continue;
		}

		// Either call may be the one that works: without free descriptors, no connection can be opened.
		mustRead = !mustRead;
		// eslint-disable-next-line no-await-in-loop -- backoff between two attempts.
		await sleep(clock, pause * (0.5 + random.fraction()), signal);
		pause = Math.min(maxBackoff, pause * 2);
	}
}

/** Resolves with the first result that is no failure, or with the last failure. */
async function firstSuccess(
	...calls: Array<Promise<Snapshot>>
): Promise<Snapshot> {
	const first = await Promise.race(calls);
	if (first.isOk()) {
		return first;
	}

	const all = await Promise.all(calls);
	return all.find((result) => result.isOk()) ?? first;
}
