/**
 * What control keeps in the platform:
 *
 * | row | holds |
 * | --- | --- |
 * | `configuration/head` | number and checksum of the accepted version, and who accepted it by which plan |
 * | `configuration/version/<number>` | a version's body |
 * | `plan/<id>` | a plan, its body, and the version it became once accepted |
 *
 * The head row is small, since every node reads it every two seconds. A body
 * above the limit goes to the object store under its checksum, and the row
 * names it. Plans are kept here because no node has a disk and any node may
 * be asked to confirm one.
 */
import {planSchema, type Plan} from '@egretspoke/protocol';
import type {Platform, PlatformError, Row} from '@egretspoke/storage';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import type {ConfigurationBody} from './configuration.js';

export const headKey = 'configuration/head';

/** Characters above which a body goes to the object store. */
const inlineLimit = 8192;

const storedBodySchema = z.object({
	version: z.number().int().positive(),
	checksum: z.string(),
	/** The text itself, or the name of its object. */
	text: z.string().optional(),
	object: z.string().optional(),
});

const headSchema = z.object({
	version: z.number().int().positive(),
	checksum: z.string(),
	plan: z.string(),
	author: z.string(),
});

const planRecordSchema = z.object({
	plan: planSchema,
	body: storedBodySchema,
	/** Present once the plan was accepted. */
	acceptedVersion: z.number().int().positive().optional(),
});

export type Head = z.infer<typeof headSchema>;
export type StoredBody = z.infer<typeof storedBodySchema>;
export type PlanRecord = z.infer<typeof planRecordSchema>;

/** A record with the row version that a condition can name; 0 when absent. */
export type Stored<T> = {rowVersion: number; value: T | undefined};

export function planKey(id: string): string {
	return `plan/${id}`;
}

export function versionKey(version: number): string {
	return `configuration/version/${String(version).padStart(12, '0')}`;
}

export function readHead(
	platform: Platform,
): ResultAsync<Stored<Head>, PlatformError> {
	return platform.table
		.read(headKey)
		.andThen((row) => readRecord(row, headSchema));
}

export function readPlan(
	platform: Platform,
	id: string,
): ResultAsync<Stored<PlanRecord>, PlatformError> {
	return platform.table
		.read(planKey(id))
		.andThen((row) => readRecord(row, planRecordSchema));
}

/** The body of a version; undefined when the platform has none. */
export function readVersion(
	platform: Platform,
	version: number,
): ResultAsync<ConfigurationBody | undefined, PlatformError> {
	return platform.table
		.read(versionKey(version))
		.andThen((row) => readRecord(row, storedBodySchema))
		.andThen(({value}) =>
			value ? fetchBody(platform, value) : okAsync(undefined),
		);
}

/** The body that a plan would put in force; undefined when there is none. */
export function readPlanBody(
	platform: Platform,
	id: string,
): ResultAsync<ConfigurationBody | undefined, PlatformError> {
	return readPlan(platform, id).andThen(({value}) =>
		value ? fetchBody(platform, value.body) : okAsync(undefined),
	);
}

/** Keeps a plan that is not accepted yet; its large body goes ahead of it. */
export function storePlan(
	platform: Platform,
	plan: Plan,
	body: ConfigurationBody,
): ResultAsync<void, PlatformError> {
	const isLarge = body.text.length > inlineLimit;
	const {version, checksum, text} = body;
	const object = `configuration/${checksum}`;
	const record: PlanRecord = {
		plan,
		body: {version, checksum, ...(isLarge ? {object} : {text})},
	};
	const before = isLarge
		? platform.objects.put(object, text)
		: okAsync<void, PlatformError>(undefined);
	return before
		.andThen(() =>
			platform.table.transact([
				{
					kind: 'put',
					key: planKey(plan.id),
					value: JSON.stringify(record),
					ifVersion: 0,
				},
			]),
		)
		.map(() => undefined);
}

function fetchBody(
	platform: Platform,
	stored: StoredBody,
): ResultAsync<ConfigurationBody | undefined, PlatformError> {
	const {version, checksum, text, object} = stored;
	if (object === undefined) {
		return okAsync({version, checksum, text: text ?? ''});
	}

	return platform.objects
		.get(object)
		.map((found) =>
			found === undefined ? undefined : {version, checksum, text: found},
		);
}

/** A row that can't be read is treated as an outage: nothing is concluded from it. */
function readRecord<T>(
	row: Row | undefined,
	schema: z.ZodType<T>,
): ResultAsync<Stored<T>, PlatformError> {
	if (!row) {
		return okAsync({rowVersion: 0, value: undefined});
	}

	const parsed = schema.safeParse(parseJson(row.value));
	return parsed.success
		? okAsync({rowVersion: row.version, value: parsed.data})
		: errAsync({kind: 'unavailable', detail: `${row.key} is malformed`});
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
