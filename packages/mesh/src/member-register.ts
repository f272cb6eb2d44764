/**
 * How nodes find each other: each keeps one row in the store, and reads those
 * of the others after it has written its own. Of any two nodes the later one
 * sees the earlier one's row and links to it, and the earlier one learns of it
 * by that link, so that nobody has to follow the table. A slow re-reading
 * mends what a partition has kept apart.
 *
 * Each write expects the version that this node saw last. A write whose answer
 * was lost may still be done seconds later; its condition is false by then if
 * this node has written since, so an old row never replaces a new one.
 */
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import {z} from 'zod';
import {isSamePlace} from './known-members.js';
import type {MeshReporter} from './mesh-reporter.js';
import {memberSchema, type Member} from './peer-message.js';
import type {RowStore, StoredRow} from './row-store.js';
import {announcementSchema, type TargetRecord} from './target-record.js';

/** What a row says: the node, and the leaving that it has acknowledged last. */
const rowSchema = z.object({
	member: memberSchema,
	leaving: announcementSchema.extend({hasLeft: z.boolean()}).optional(),
});

type RowValue = z.output<typeof rowSchema>;

/** What a register needs. */
export type MemberRegisterOptions = {
	store: RowStore;
	self: Member;
	clock: Clock;
	random: Random;
	reporter: MeshReporter;
	onMembers: (members: Member[]) => void;
	/** An earlier start of this node acknowledged that this target leaves. */
	onEarlierLeaving: (record: TargetRecord) => void;
};

/** The register. */
export type MemberRegister = {
	/** Writes this node's row and reads the others until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
	/**
	 * Keeps the leaving of the target beside this node beyond the life of this
	 * process. Resolves when it is stored, or when the time is over.
	 */
	persistLeaving(record: TargetRecord): Promise<void>;
};

const table = 'members';
/** Milliseconds between two readings of the table, by half more or less. */
const rereadPeriod = 60_000;
/** Milliseconds between two tries while the store fails. */
const firstPause = 200;
const longestPause = 1500;
/** Milliseconds that an acknowledgement waits for the store: a target waits a second in all. */
const keepTime = 600;

/** Creates a register. */
export function createMemberRegister(
	options: MemberRegisterOptions,
): MemberRegister {
	const {store, self, clock, random, reporter} = options;
	let version = 0;
	let isWritten = false;
	let leaving: TargetRecord | undefined;
	let writing: Promise<boolean> = Promise.resolve(true);

	/** One write after the other, so that each knows the version before it. */
	const write = async (): Promise<boolean> => {
		const before = writing;
		writing = (async () => {
			await before;
			return writeOnce();
		})();
		return writing;
	};

	const writeOnce = async (): Promise<boolean> => {
		for (let tries = 0; tries < 3; tries++) {
			// A conflict can bring the leaving that an earlier start acknowledged; it is kept.
			const value: RowValue = {member: self, ...(leaving && {leaving})};
			// eslint-disable-next-line no-await-in-loop -- a conflict tells the version for the next try.
			const result = await store.write(
				{table, key: self.node, value: JSON.stringify(value)},
				version,
			);
			if (result.isOk()) {
				version = result.value;
				isWritten = true;
				return true;
			}

			if (result.error.kind !== 'conflict') {
				return false;
			}

			const hasOwnNews = leaving !== undefined;
			const stored = takeOwnRow(result.error.current);
			// After a restart in the same place the row says already what others need.
			if (!hasOwnNews && stored && isSamePlace(stored.member, self)) {
				isWritten = true;
				return true;
			}
		}

		return false;
	};

	const takeOwnRow = (row: StoredRow | undefined): RowValue | undefined => {
		version = row?.version ?? 0;
		const value = row && decodeRow(row);
		if (value?.leaving && !leaving) {
			leaving = value.leaving;
			options.onEarlierLeaving(value.leaving);
		}

		return value;
	};

	const readOthers = async (): Promise<boolean> => {
		const result = await store.read(table);
		if (result.isErr()) {
			return false;
		}

		const members: Member[] = [];
		for (const row of result.value.rows) {
			const value = decodeRow(row);
			if (value) {
				members.push(value.member);
			} else {
				reporter.notice('meshRowMalformed', {key: row.key});
			}
		}

		options.onMembers(members);
		return true;
	};

	return {
		async run(signal) {
			let pause = firstPause;
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop -- the own row first, then the others'.
				const isDone = (isWritten || (await write())) && (await readOthers());
				const time = isDone ? rereadPeriod : pause;
				pause = isDone ? firstPause : Math.min(longestPause, pause * 2);
				// eslint-disable-next-line no-await-in-loop -- a pause between two rounds.
				await sleep(clock, time * (0.5 + random.fraction()), signal);
			}
		},
		async persistLeaving(record) {
			leaving = record;
			await Promise.race([write(), sleep(clock, keepTime)]);
		},
	};
}

function decodeRow(row: StoredRow): RowValue | undefined {
	try {
		const parsed = rowSchema.safeParse(JSON.parse(row.value));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
