/**
 * Confirms a plan: one transaction writes the head row on condition that it
 * still is the plan's base, the version's body, and the plan's record.
 *
 * What goes wrong without the condition: two operators confirm plans made
 * from the same version, and the second silently undoes the first. One notices
 * a payment rule gone that somebody was told is in force. What goes wrong
 * without the plan's record: the answer to the write is lost, the operator is
 * told that it failed and confirms again or plans anew. The record is written
 * in the same transaction, so whoever reads it knows; and the same transaction
 * may be sent again, since its own conditions keep it from taking effect twice.
 */
import type {ConfirmAnswer} from '@egretspoke/protocol';
import type {Platform, PlatformError, TableWrite} from '@egretspoke/storage';
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import {err, ok, type Result} from 'neverthrow';
import {
	headKey,
	planKey,
	readHead,
	readPlan,
	versionKey,
	type Head,
	type Stored,
	type PlanRecord,
} from './configuration-store.js';

/** What a confirmation needs. */
export type ConfirmOptions = {
	platform: Platform;
	clock: Clock;
	random: Random;
	/** How the head is written; only tests take another than the default. */
	headWrite?: HeadWrite;
};

/** The condition on the head row, by the way it is written. */
export type HeadWrite = keyof typeof headConditions;

/** `overwrite` is the naive way, for the proof that the condition matters. */
export const headConditions = {
	compareAndSet: (rowVersion: number) => ({ifVersion: rowVersion}),
	overwrite: (_rowVersion: number) => ({}),
} as const;

/** How often an unknown write is looked at again before the operator is told so. */
const settleAttempts = 4;

/** Milliseconds before the first look; doubles with each. */
const settleDelay = 200;

/** Confirms a plan by its id; `notFound` when the platform has no such plan. */
export async function confirmPlan(
	id: string,
	options: ConfirmOptions,
): Promise<ConfirmAnswer | 'notFound'> {
	const first = await attempt(id, options);
	if (first.isOk()) {
		return first.value;
	}

	const {kind, detail} = first.error;
	return kind === 'unknown'
		? settle(id, detail, options)
		: {result: 'unavailable', plan: id, detail};
}

/** An attempt's end: an answer, or a failure that may leave an effect. */
type Attempt = Result<ConfirmAnswer | 'notFound', PlatformError>;

async function attempt(id: string, options: ConfirmOptions): Promise<Attempt> {
	const {platform} = options;
	const plan = await readPlan(platform, id);
	if (plan.isErr()) {
		return err(plan.error);
	}

	const {value: record} = plan.value;
	if (!record) {
		return ok('notFound');
	}

	if (record.acceptedVersion !== undefined) {
		return ok(accept(id, record.acceptedVersion, true));
	}

	const head = await readHead(platform);
	if (head.isErr()) {
		return err(head.error);
	}

	const current = head.value.value;
	const isBase = (current?.version ?? 0) === record.plan.baseVersion;
	if (!isBase && options.headWrite !== 'overwrite') {
		return resolveConflict(id, record, current, platform);
	}

	return write(id, {record, plan: plan.value, head: head.value}, options);
}

async function write(
	id: string,
	found: {record: PlanRecord; plan: Stored<PlanRecord>; head: Stored<Head>},
	options: ConfirmOptions,
): Promise<Attempt> {
	const {platform, headWrite = 'compareAndSet'} = options;
	const {record, plan, head} = found;
	const {version, checksum} = record.body;
	const {author} = record.plan;
	const conditionOf = headConditions[headWrite];
	const writes: TableWrite[] = [
		{
			kind: 'put',
			key: headKey,
			value: JSON.stringify({version, checksum, plan: id, author}),
			...conditionOf(head.rowVersion),
		},
		{
			kind: 'put',
			key: versionKey(version),
			value: JSON.stringify(record.body),
			...conditionOf(0),
		},
		{
			kind: 'put',
			key: planKey(id),
			value: JSON.stringify({...record, acceptedVersion: version}),
			ifVersion: plan.rowVersion,
		},
	];
	const written = await platform.table.transact(writes);
	if (written.isOk()) {
		return ok(accept(id, version, false));
	}

	if (written.error.kind !== 'conflict') {
		return err(written.error);
	}

	const now = await readHead(platform);
	return now.isErr()
		? err(now.error)
		: resolveConflict(id, record, now.value.value, platform);
}

/** The head is not the plan's base: either another plan won, or this one did earlier. */
async function resolveConflict(
	id: string,
	record: PlanRecord,
	head: Head | undefined,
	platform: Platform,
): Promise<Attempt> {
	const reread = await readPlan(platform, id);
	if (reread.isErr()) {
		return err(reread.error);
	}

	const accepted = reread.value.value?.acceptedVersion;
	return ok(
		accepted === undefined
			? {
					result: 'conflict',
					plan: id,
					baseVersion: record.plan.baseVersion,
					currentVersion: head?.version ?? 0,
					byPlan: head?.plan ?? '',
					byAuthor: head?.author ?? '',
				}
			: accept(id, accepted, true),
	);
}

/**
 * The write's answer was lost. Sending the same again settles it: an earlier
 * effect shows in the plan's record, and a write that is still under way can
 * no longer take effect once this one has, or the other way round.
 */
async function settle(
	id: string,
	detail: string,
	options: ConfirmOptions,
): Promise<ConfirmAnswer | 'notFound'> {
	const {clock, random} = options;
	for (let round = 0; round < settleAttempts; round++) {
		const delay = settleDelay * 2 ** round * (0.5 + random.fraction());
		// eslint-disable-next-line no-await-in-loop -- each look comes after the one before.
		await sleep(clock, delay);
		// eslint-disable-next-line no-await-in-loop -- each look comes after the one before.
		const result = await attempt(id, options);
		if (result.isOk()) {
			const answer = result.value;
			return answer !== 'notFound' && answer.result === 'accepted'
				? {...answer, repeated: false}
				: answer;
		}
	}

	return {
		result: 'unknown',
		plan: id,
		detail,
		settle: `egretspoke confirm ${id}`,
	};
}

function accept(id: string, version: number, repeated: boolean): ConfirmAnswer {
	return {result: 'accepted', plan: id, version, repeated};
}
