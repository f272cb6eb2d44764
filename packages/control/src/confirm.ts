/**
 * Confirms a plan: one transaction writes the head row on condition that it is
 * still the plan's base, together with the version's body and the plan's record.
 * Without the condition, two operators could confirm plans made from the same
 * version, and the second would silently undo the first, such as a payment rule
 * that was reported as in force.
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

/** Dependencies of a confirmation. */
export type ConfirmOptions = {
	platform: Platform;
	clock: Clock;
	random: Random;
	/** How the head is written; replaced in tests only. */
	headWrite?: HeadWrite;
};

/** The way in which the head row is written. */
export type HeadWrite = keyof typeof headConditions;

/** The conditions on the head row; `overwrite` is the naive way, for tests only. */
export const headConditions = {
	compareAndSet: (rowVersion: number) => ({ifVersion: rowVersion}),
	overwrite: (_rowVersion: number) => ({}),
} as const;

/** Attempts to determine the outcome of a write before it is reported as unknown. */
const settleAttempts = 4;

/** Backoff before the first of these attempts, in milliseconds; doubles with each. */
const initialSettleDelay = 200;

/** Confirms a plan by its id; resolves with `notFound` when the platform has no such plan. */
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

/** The result of an attempt: an answer, or a failure after which a write may have taken effect. */
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
		return ok(createAcceptedAnswer(id, record.acceptedVersion, true));
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

/**
 * Sends the transaction that accepts the plan. It includes the plan's record, which
 * shows the outcome to every reader: otherwise an operator whose response was lost
 * would have to confirm or plan again without the outcome. The transaction may be
 * retried, because its conditions prevent a second effect.
 */
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
		return ok(createAcceptedAnswer(id, version, false));
	}

	if (written.error.kind !== 'conflict') {
		return err(written.error);
	}

	const latestHead = await readHead(platform);
	return latestHead.isErr()
		? err(latestHead.error)
		: resolveConflict(id, record, latestHead.value.value, platform);
}

/** Handles a head that is not the plan's base: another plan was accepted, or this one was earlier. */
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
			: createAcceptedAnswer(id, accepted, true),
	);
}

/**
 * Determines the outcome after the response to a write was lost, by retrying the
 * same transaction: the plan's record shows an earlier effect, and of a write in
 * flight and its retry, the conditions let only one take effect.
 */
async function settle(
	id: string,
	detail: string,
	options: ConfirmOptions,
): Promise<ConfirmAnswer | 'notFound'> {
	const {clock, random} = options;
	for (let round = 0; round < settleAttempts; round++) {
		const delay = initialSettleDelay * 2 ** round * (0.5 + random.fraction());
		// eslint-disable-next-line no-await-in-loop -- one attempt after another.
		await sleep(clock, delay);
		// eslint-disable-next-line no-await-in-loop -- one attempt after another.
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

function createAcceptedAnswer(
	id: string,
	version: number,
	repeated: boolean,
): ConfirmAnswer {
	return {result: 'accepted', plan: id, version, repeated};
}
