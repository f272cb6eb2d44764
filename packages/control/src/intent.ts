/**
 * Parses intent documents: one service's intent, or a list of them, in YAML or
 * JSON. docs/CONFIGURATION.md is the reference for operators.
 */
import {requestClassSchema} from '@egretspoke/protocol';
import {
	createDurationSchema,
	readDocument,
	type DocumentIssue,
	type Finding,
} from '@egretspoke/shared';
import type {Result} from 'neverthrow';
import {z} from 'zod';

/** The methods that a rule may match. */
const methods = [
	'GET',
	'HEAD',
	'POST',
	'PUT',
	'PATCH',
	'DELETE',
	'OPTIONS',
] as const;

const maxAttempts = 10;

const nameSchema = z
	.string()
	.regex(
		/^[a-z\d][a-z\d.-]{0,99}$/iu,
		'expected letters, digits, dots and dashes, at most 100',
	);

const pathSchema = z
	.string()
	.regex(
		/^\/[^\s?#]*$/u,
		'expected a path that starts with / and has no query',
	);

const requestIntentSchema = z.strictObject({
	match: z.strictObject({method: z.enum(methods).optional(), path: pathSchema}),
	class: requestClassSchema.optional(),
	idempotent: z.boolean().optional(),
});

const targetIntentSchema = z.strictObject({
	node: nameSchema,
	intent: z.enum(['join', 'leave']),
});

const serviceIntentSchema = z.strictObject({
	service: nameSchema,
	/** The deadline at the first entry node for a request without one, in milliseconds. */
	deadline: createDurationSchema({min: '10ms', max: '10m'}).optional(),
	attempts: z.number().int().min(1).max(maxAttempts).optional(),
	requests: z.array(requestIntentSchema).optional(),
	calls: z.array(nameSchema).optional(),
	targets: z.array(targetIntentSchema).optional(),
	/** Removes the service from the configuration. */
	removed: z.literal(true).optional(),
});

const intentDocumentSchema = z.union([
	serviceIntentSchema,
	z.array(serviceIntentSchema).min(1),
]);

/** One service's intent; absent keys mean the built-in defaults. */
export type ServiceIntent = z.output<typeof serviceIntentSchema>;

/** Parses an intent document; the error contains all findings with their positions. */
export function readIntents(source: {
	text: string;
	file: string;
}): Result<ServiceIntent[], Finding[]> {
	return readDocument({
		...source,
		schema: intentDocumentSchema,
		check: findDuplicates,
	}).map((document) => (Array.isArray(document) ? document : [document]));
}

type Path = Array<string | number>;
type Entry = {path: Path; name: string};

/** Finds duplicate entries and services that call themselves, which the schema cannot detect. */
function findDuplicates(value: unknown): DocumentIssue[] {
	const services = Array.isArray(value) ? (value as unknown[]) : [value];
	const isList = Array.isArray(value);
	const named = services.flatMap((service, index) =>
		createNamedEntry(
			service,
			[...(isList ? [index] : []), 'service'],
			['service'],
		),
	);
	return [
		...listDuplicates(named, 'the service'),
		...services.flatMap((service, index) =>
			findDuplicatesWithin(service, isList ? [index] : []),
		),
	];
}

function findDuplicatesWithin(service: unknown, base: Path): DocumentIssue[] {
	const requests = getList(service, 'requests').flatMap((request, index) =>
		createNamedEntry(
			request,
			[...base, 'requests', index, 'match'],
			['match', 'method'],
			['match', 'path'],
		),
	);
	const calls = getList(service, 'calls').map((call, index) => ({
		path: [...base, 'calls', index],
		name: String(call),
	}));
	const targets = getList(service, 'targets').flatMap((target, index) =>
		createNamedEntry(target, [...base, 'targets', index, 'node'], ['node']),
	);
	const self = calls.filter(
		({name}) => name === getByPath(service, ['service']),
	);
	return [
		...listDuplicates(requests, 'the match'),
		...listDuplicates(calls, 'the call'),
		...listDuplicates(targets, 'the target'),
		...self.map(({path, name}) => ({
			path,
			message: `${name} calls itself`,
			advice: 'expected the names of other services',
		})),
	];
}

function listDuplicates(entries: Entry[], label: string): DocumentIssue[] {
	const seen = new Set<string>();
	return entries.flatMap(({path, name}) => {
		if (!seen.has(name)) {
			seen.add(name);
			return [];
		}

		return [
			{
				path,
				message: `${label} ${name} is given twice`,
				advice: 'expected one entry',
			},
		];
	});
}

function createNamedEntry(
	value: unknown,
	path: Path,
	...keys: string[][]
): Entry[] {
	const parts = keys.map((key) => getByPath(value, key));
	const name = parts.filter((part) => typeof part === 'string').join(' ');
	return name === '' ? [] : [{path, name}];
}

function getList(value: unknown, key: string): unknown[] {
	const list = getByPath(value, [key]);
	return Array.isArray(list) ? (list as unknown[]) : [];
}

function getByPath(value: unknown, path: string[]): unknown {
	let current = value;
	for (const key of path) {
		current =
			typeof current === 'object' && current !== null
				? (current as Record<string, unknown>)[key]
				: undefined;
	}

	return current;
}
