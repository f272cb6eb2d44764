/**
 * Member discovery: each node writes one row to the store and then reads the
 * rows of the others. Of any two nodes the later one sees the row of the
 * earlier one and links to it, and that link notifies the earlier one, so no
 * node has to follow the table.
 */
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {createLimitedNotices} from '../limited-notices.js';
import type {MeshReporter} from '../mesh-reporter.js';
import {memberSchema, type Member} from '../links/peer-message.js';
import type {RowStore, StoredRow} from '../configuration/row-store.js';
import {describeIssue, isInFuture} from '../field-schemas.js';
import {
	targetRecordSchema,
	type TargetRecord,
} from '../target/target-record.js';
import {isSamePlace} from './known-members.js';

/** Content of a row: the member, and the last leaving target that it acknowledged. */
const rowSchema = z.object({
	member: memberSchema,
	leaving: targetRecordSchema.optional(),
});

type RowValue = z.output<typeof rowSchema>;

/** Options of `createMemberRegister`. */
export type MemberRegisterOptions = {
	store: RowStore;
	self: Member;
	clock: Clock;
	random: Random;
	reporter: MeshReporter;
	onMembers: (members: Member[]) => void;
	/** Called if an earlier start of this node acknowledged that this target leaves. */
	onEarlierLeaving: (record: TargetRecord) => void;
};

/** The register of members. */
export type MemberRegister = {
	/** Writes this node's row and reads the others until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
	/** Writes this node's row again, because another writer has claimed its name. */
	rewrite(): void;
	/**
	 * Persists that the local target is leaving, so that a later start of this node
	 * has the information. Resolves when it is stored, or after a timeout, after
	 * which it is written as soon as the store takes it.
	 */
	persistLeaving(record: TargetRecord): Promise<void>;
};

const table = 'members';
/**
 * Milliseconds between two reads of the table, randomized by half more or less.
 * Rare re-reads reconnect members after a partition.
 */
const rereadInterval = 60_000;
/** Maximum characters of a row; one that names a member and a target has a few hundred. */
const maxRowLength = 8192;
/** Milliseconds between two attempts while the store fails; doubled up to the maximum. */
const initialBackoff = 200;
const maxBackoff = 1500;
/** Milliseconds that an acknowledgement waits for the store: the target waits one second in total. */
const persistTimeout = 600;

/** Creates a register that has not started. */
export function createMemberRegister(
	options: MemberRegisterOptions,
): MemberRegister {
	const {store, self, clock, random} = options;
	const reportSkipped = createLimitedNotices(
		clock,
		(key: string, detail: string) => {
			options.reporter.notice('meshRowMalformed', {table, key, detail});
		},
	);
	let version = 0;
	let isWritten = false;
	/** Whether the row must be written even if it names the same place. */
	let isDisplaced = false;
	let hasRead = false;
	let leaving: TargetRecord | undefined;
	let writing: Promise<boolean> = Promise.resolve(true);
	/** Aborts with the node. */
	let lifetime: AbortSignal | undefined;

	/** Serializes writes, so that each one has the version of the previous one. */
	const write = async (): Promise<boolean> => {
		const before = writing;
		writing = (async () => {
			await before;
			try {
				return await writeOnce();
			} catch (error) {
				// Counts as a failed write: it is tried again, and those behind it go on.
				options.reporter.notice('unexpectedError', {detail: String(error)});
				return false;
			}
		})();
		return writing;
	};

	/**
	 * Writes the row on the condition that its version is the one that this
	 * node saw last. A write whose answer was lost may still be executed
	 * seconds later; its condition is false by then if this node has written
	 * since, so an old row never replaces a new one.
	 */
	const writeOnce = async (): Promise<boolean> => {
		for (let tries = 0; tries < 3; tries++) {
			// A conflict can return a leaving target that an earlier start acknowledged; it is written again.
			const value: RowValue = {member: self, ...(leaving && {leaving})};
			// eslint-disable-next-line no-await-in-loop -- a conflict returns the version for the next attempt.
			const result = await store.write(
				{table, key: self.node, value: JSON.stringify(value)},
				version,
			);
			if (result.isOk()) {
				version = result.value;
				isWritten = true;
				isDisplaced = false;
				return true;
			}

			if (result.error.kind !== 'conflict') {
				return false;
			}

			const hasLeaving = leaving !== undefined;
			const stored = applyOwnRow(result.error.current);
			// If only the start time has changed, the row already holds what other nodes need.
			const isUpToDate =
				!hasLeaving &&
				!isDisplaced &&
				stored &&
				isSamePlace(stored.member, self);
			if (isUpToDate) {
				isWritten = true;
				return true;
			}
		}

		return false;
	};

	/** Writes the row until the store takes it, or until a later leaving is to be written. */
	const writeLeaving = async (record: TargetRecord): Promise<void> => {
		let pause = initialBackoff;
		const isWanted = () => leaving === record && !lifetime?.aborted;
		// eslint-disable-next-line no-await-in-loop -- one attempt after the other.
		while (!(await write()) && isWanted()) {
			// eslint-disable-next-line no-await-in-loop -- backoff.
			await sleep(clock, pause * (0.5 + random.fraction()), lifetime);
			pause = Math.min(maxBackoff, pause * 2);
		}
	};

	const applyOwnRow = (row: StoredRow | undefined): RowValue | undefined => {
		version = row?.version ?? 0;
		const value = row && decodeRow(row, clock.date()).unwrapOr(undefined);
		if (value?.leaving && !leaving) {
			leaving = value.leaving;
			options.onEarlierLeaving(value.leaving);
		}

		return value;
	};

	const isOwnRow = (row: StoredRow | undefined): boolean =>
		row !== undefined &&
		decodeRow(row, clock.date())
			.map(({member}) => isSamePlace(member, self))
			.unwrapOr(false);

	/** If the store fails now, the next round of `run` writes the row. */
	const rewrite = () => {
		isDisplaced = true;
		isWritten = false;
		if (lifetime && !lifetime.aborted) {
			void write();
		}
	};

	const readOthers = async (): Promise<boolean> => {
		const result = await store.read(table, maxRowLength);
		if (result.isErr()) {
			return false;
		}

		const members: Member[] = [];
		// Another writer may have replaced the row, or the store lost it.
		const ownRow = result.value.rows.find(({key}) => key === self.node);
		if (!isOwnRow(ownRow)) {
			version = ownRow?.version ?? 0;
			if (isWritten) {
				rewrite();
			}
		}

		for (const row of result.value.rows) {
			decodeRow(row, clock.date()).match(
				({member}) => {
					members.push(member);
				},
				(detail) => {
					reportSkipped(row.key, detail);
				},
			);
		}

		hasRead = true;
		options.onMembers(members);
		return isWritten || writing;
	};

	return {
		async run(signal) {
			lifetime = signal;
			let pause = initialBackoff;
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop -- this node's row is written before the others are read.
				const wasWritten = isWritten || (await write());
				// While the store refuses its row, the links to the others make this node known.
				// eslint-disable-next-line no-await-in-loop -- as above.
				const isRead = (wasWritten || !hasRead) && (await readOthers());
				const isDone = wasWritten && isRead;
				const delay = isDone ? rereadInterval : pause;
				pause = isDone ? initialBackoff : Math.min(maxBackoff, pause * 2);
				// eslint-disable-next-line no-await-in-loop -- backoff or interval between two rounds.
				await sleep(clock, delay * (0.5 + random.fraction()), signal);
			}
		},
		rewrite,
		async persistLeaving(record) {
			leaving = record;
			await Promise.race([writeLeaving(record), sleep(clock, persistTimeout)]);
		},
	};
}

/** Decodes a row; the error says why it names no member. */
function decodeRow(row: StoredRow, now: Date): Result<RowValue, string> {
	let json: unknown;
	try {
		json = JSON.parse(row.value);
	} catch {
		return err('not JSON');
	}

	const parsed = rowSchema.safeParse(json);
	if (!parsed.success) {
		return err(describeIssue(parsed.error));
	}

	const {member, leaving} = parsed.data;
	if (member.node !== row.key) {
		return err('it names another node than its key');
	}

	return isInFuture(Math.max(member.startedAt, leaving?.startedAt ?? 0), now)
		? err('its start is in the future')
		: ok(parsed.data);
}
