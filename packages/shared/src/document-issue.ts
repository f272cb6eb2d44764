/** Converts issues of zod into messages that an operator can act on. */
import type {z} from 'zod';
import type {DocumentPath, PlacePart} from './document-place.js';
import {listKnownKeys} from './known-keys.js';
import {findNearestKey} from './nearest-key.js';

/** A fault within a document, not yet resolved to a line and column. */
export type DocumentIssue = {
	path: DocumentPath;
	/** Whether the fault concerns the key or the value; the value by default. */
	part?: PlacePart;
	message: string;
	/** What was expected, or the nearest known key. */
	advice?: string;
};

type Issue = z.core.$ZodIssue;
type Explain<Code extends Issue['code']> = (
	issue: Extract<Issue, {code: Code}>,
	written: unknown,
	explainInner: (issue: Issue) => DocumentIssue[],
	schema: z.core.$ZodType,
) => DocumentIssue[];

const maxQuoteLength = 60;

/* eslint-disable @typescript-eslint/naming-convention -- the keys are zod's issue codes. */
const explainers: {[Code in Issue['code']]: Explain<Code>} = {
	invalid_type: ({path, expected}, written) => [
		{
			path,
			message: written === undefined ? 'is missing' : describe(written),
			advice: `expected ${typeNames[expected] ?? expected}`,
		},
	],
	unrecognized_keys: ({path, keys}, _written, _inner, schema) =>
		keys.map((key) => describeUnknownKey(path, key, schema)),
	invalid_value: ({path, values}, written) => [
		{
			path,
			message: written === undefined ? 'is missing' : describe(written),
			advice: `expected ${values.map(String).join(', ')}`,
		},
	],
	too_small: ({path, minimum, origin}, written) => [
		{
			path,
			message: `${quote(written)} is too small`,
			advice: `expected at least ${minimum}${unitSuffixes[origin] ?? ''}`,
		},
	],
	too_big: ({path, maximum, origin}, written) => [
		{
			path,
			message: `${quote(written)} is too large`,
			advice: `expected at most ${maximum}${unitSuffixes[origin] ?? ''}`,
		},
	],
	invalid_format: ({path, message, format}, written) => [
		{
			path,
			message: describe(written),
			advice: message.startsWith('expected') ? message : `expected ${format}`,
		},
	],
	not_multiple_of: ({path, divisor}, written) => [
		{
			path,
			message: describe(written),
			advice: `expected a multiple of ${divisor}`,
		},
	],
	invalid_union({path, errors, message}, written, inner) {
		const nearest = chooseBranch(errors);
		return nearest
			? nearest.flatMap((issue) =>
					inner({...issue, path: [...path, ...issue.path]}),
				)
			: [{path, message: describe(written), advice: describeBranches(message)}];
	},
	invalid_key: ({path, issues}, _written, inner) =>
		issues.flatMap((issue) =>
			inner({...issue, path}).map((each) => ({...each, path, part: 'key'})),
		),
	invalid_element: ({path, issues}, _written, inner) =>
		issues.flatMap((issue) =>
			inner({...issue, path: [...path, ...issue.path]}),
		),
	custom: ({path, message, params}) => [
		{
			path,
			message,
			...(typeof params?.expected === 'string'
				? {advice: params.expected}
				: {}),
		},
	],
};
/* eslint-enable @typescript-eslint/naming-convention */

/** Converts an issue of zod into one entry per fault. */
export function explainIssue(
	issue: Issue,
	schema: z.core.$ZodType,
	value: unknown,
): DocumentIssue[] {
	const explain = explainers[issue.code] as Explain<Issue['code']>;
	const inner = (each: Issue) => explainIssue(each, schema, value);
	return explain(issue, valueAt(value, issue.path), inner, schema);
}

const typeNames: Record<string, string> = {
	object: 'a map of keys',
	record: 'a map of keys',
	array: 'a list',
	string: 'text',
	number: 'a number',
	int: 'a whole number',
	boolean: 'true or false',
};

const unitSuffixes: Record<string, string> = {
	string: ' characters',
	array: ' entries',
};

function describeUnknownKey(
	path: DocumentPath,
	key: string,
	schema: z.core.$ZodType,
): DocumentIssue {
	const known = listKnownKeys(schema, path);
	const nearest = findNearestKey(key, known);
	return {
		path: [...path, key],
		part: 'key',
		message: 'unknown key',
		advice: nearest
			? `nearest known key: ${nearest}`
			: `known keys: ${known.join(', ')}`,
	};
}

/** Extracts the allowed values of a discriminator from the message, because zod lists them nowhere else. */
function describeBranches(message: string): string {
	return message.replace(/^Invalid discriminator value\. E/u, 'e');
}

/** Chooses the branch of a union whose issues are at the deepest path, because it most likely is the intended one. */
function chooseBranch(branches: Issue[][]): Issue[] | undefined {
	const depth = (branch: Issue[]) =>
		Math.max(0, ...branch.map(({path}) => path.length));
	return branches.toSorted((left, right) => depth(right) - depth(left))[0];
}

function valueAt(value: unknown, path: DocumentPath): unknown {
	let current = value;
	for (const step of path) {
		current = (current as Record<PropertyKey, unknown> | undefined)?.[step];
	}

	return current;
}

function describe(written: unknown): string {
	return written === null
		? 'has no value'
		: `${quote(written)} is not allowed here`;
}

function quote(written: unknown): string {
	const text = JSON.stringify(written) ?? '';
	return text.length > maxQuoteLength
		? `${text.slice(0, maxQuoteLength)}…`
		: text;
}
