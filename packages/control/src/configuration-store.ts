/**
 * The rows of control in the platform's table:
 *
 * | row | content |
 * | --- | --- |
 * | `configuration/head` | version and checksum of the accepted configuration, its plan and its author |
 * | `configuration/version/<number>` | a version's body |
 * | `plan/<id>` | a plan, its body, and its version once accepted |
 */
import {planSchema, type Plan} from '@egretspoke/protocol';
import type {Platform, PlatformError, Row} from '@egretspoke/storage';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import type {ConfigurationBody} from './configuration.js';

/** The key of the head row, which is small because every node reads it every two seconds. */
export const headKey = 'configuration/head';

/**
 * Maximum length of a body in a row, in characters. A longer one is stored in the
 * object store under its checksum, and the row names the object.
 */
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

/** The content of the head row. */
export type Head = z.infer<typeof headSchema>;
/** A body as stored in a row, with its text or the name of its object. */
export type StoredBody = z.infer<typeof storedBodySchema>;
/**
 * The content of a plan's row. Plans are stored in the table because nodes have no
 * disk and any node may receive the confirmation.
 */
export type PlanRecord = z.infer<typeof planRecordSchema>;

/** A record with its row version, for use in a condition; the version is 0 when the row is absent. */
export type Stored<T> = {rowVersion: number; value: T | undefined};

/** Returns the key of a plan's row. */
export function planKey(id: string): string {
	return `plan/${id}`;
}

/** Returns the key of a version's row; padded, so that keys sort by version. */
export function versionKey(version: number): string {
	return `configuration/version/${String(version).padStart(12, '0')}`;
}

/** Reads the head row. */
export function readHead(
	platform: Platform,
): ResultAsync<Stored<Head>, PlatformError> {
	return platform.table
		.read(headKey)
		.andThen((row) => readRecord(row, headSchema));
}

/** Reads a plan's row. */
export function readPlan(
	platform: Platform,
	id: string,
): ResultAsync<Stored<PlanRecord>, PlatformError> {
	return platform.table
		.read(planKey(id))
		.andThen((row) => readRecord(row, planRecordSchema));
}

/** Reads the body of a version; resolves with undefined when the platform has none. */
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

/** Reads the body that a plan would put in force; resolves with undefined when there is none. */
export function readPlanBody(
	platform: Platform,
	id: string,
): ResultAsync<ConfigurationBody | undefined, PlatformError> {
	return readPlan(platform, id).andThen(({value}) =>
		value ? fetchBody(platform, value.body) : okAsync(undefined),
	);
}

/** Stores a plan that is not accepted yet; a large body is written first. */
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

/** Parses a row; a malformed one is treated like an unreachable platform. */
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
