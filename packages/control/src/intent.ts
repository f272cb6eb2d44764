/**
 * What operators write: one service's intent, or a list of them, in YAML or
 * JSON. The reference for operators is docs/CONFIGURATION.md.
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

/** The methods that a rule may name. */
const methods = [
	'GET',
	'HEAD',
	'POST',
	'PUT',
	'PATCH',
	'DELETE',
	'OPTIONS',
] as const;

const mostAttempts = 10;

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
	/** Milliseconds that a first entry gives a request which states none. */
	deadline: createDurationSchema({min: '10ms', max: '10m'}).optional(),
	attempts: z.number().int().min(1).max(mostAttempts).optional(),
	requests: z.array(requestIntentSchema).optional(),
	calls: z.array(nameSchema).optional(),
	targets: z.array(targetIntentSchema).optional(),
	/** Takes the service out of the configuration. */
	removed: z.literal(true).optional(),
});

const intentDocumentSchema = z.union([
	serviceIntentSchema,
	z.array(serviceIntentSchema).min(1),
]);

/** One service's intent as written; absent keys mean the built-in defaults. */
export type ServiceIntent = z.output<typeof serviceIntentSchema>;

/** Reads an intent document; the error holds every finding with its place. */
export function readIntents(source: {
	text: string;
	file: string;
}): Result<ServiceIntent[], Finding[]> {
	return readDocument({
		...source,
		schema: intentDocumentSchema,
		check: findRepeats,
	}).map((document) => (Array.isArray(document) ? document : [document]));
}

type Path = Array<string | number>;
type Entry = {path: Path; name: string};

/** Finds what the schema can't see: entries that name the same thing twice. */
function findRepeats(value: unknown): DocumentIssue[] {
	const services = Array.isArray(value) ? (value as unknown[]) : [value];
	const isList = Array.isArray(value);
	const named = services.flatMap((service, index) =>
		nameEntry(service, [...(isList ? [index] : []), 'service'], ['service']),
	);
	return [
		...listRepeats(named, 'the service'),
		...services.flatMap((service, index) =>
			findRepeatsWithin(service, isList ? [index] : []),
		),
	];
}

function findRepeatsWithin(service: unknown, base: Path): DocumentIssue[] {
	const requests = listOf(service, 'requests').flatMap((request, index) =>
		nameEntry(
			request,
			[...base, 'requests', index, 'match'],
			['match', 'method'],
			['match', 'path'],
		),
	);
	const calls = listOf(service, 'calls').map((call, index) => ({
		path: [...base, 'calls', index],
		name: String(call),
	}));
	const targets = listOf(service, 'targets').flatMap((target, index) =>
		nameEntry(target, [...base, 'targets', index, 'node'], ['node']),
	);
	const self = calls.filter(({name}) => name === lookUp(service, ['service']));
	return [
		...listRepeats(requests, 'the match'),
		...listRepeats(calls, 'the call'),
		...listRepeats(targets, 'the target'),
		...self.map(({path, name}) => ({
			path,
			message: `${name} calls itself`,
			advice: 'expected the names of other services',
		})),
	];
}

function listRepeats(entries: Entry[], what: string): DocumentIssue[] {
	const seen = new Set<string>();
	return entries.flatMap(({path, name}) => {
		if (!seen.has(name)) {
			seen.add(name);
			return [];
		}

		return [
			{
				path,
				message: `${what} ${name} is given twice`,
				advice: 'expected one entry',
			},
		];
	});
}

function nameEntry(value: unknown, path: Path, ...keys: string[][]): Entry[] {
	const parts = keys.map((key) => lookUp(value, key));
	const name = parts.filter((part) => typeof part === 'string').join(' ');
	return name === '' ? [] : [{path, name}];
}

function listOf(value: unknown, key: string): unknown[] {
	const list = lookUp(value, [key]);
	return Array.isArray(list) ? (list as unknown[]) : [];
}

function lookUp(value: unknown, path: string[]): unknown {
	let current = value;
	for (const key of path) {
		current =
			typeof current === 'object' && current !== null
				? (current as Record<string, unknown>)[key]
				: undefined;
	}

	return current;
}
