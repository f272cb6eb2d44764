/** Durations written as a number with a unit: `250ms`, `4s`, `2m`. */
import {z} from 'zod';
import {readQuantity, formatQuantity, type Unit} from './quantity.js';

const durationUnits: readonly Unit[] = [
	{suffix: 'ms', factor: 1},
	{suffix: 's', factor: 1000},
	{suffix: 'm', factor: 60_000},
	{suffix: 'h', factor: 3_600_000},
];

const expected = 'expected a number with ms, s, m or h, such as 250ms or 4s';

/** Parses a text such as `4s` into milliseconds; returns undefined when it is not a duration. */
export function parseDuration(text: string): number | undefined {
	return readQuantity(text, durationUnits);
}

/** Formats milliseconds as the shortest exact text, such as `4s`. */
export function formatDuration(milliseconds: number): string {
	return formatQuantity(milliseconds, durationUnits);
}

/** The schema of a duration in a document; its output is in milliseconds. */
export const durationSchema = createDurationSchema();

/** Creates the schema of a duration within inclusive bounds, which are given as texts. */
export function createDurationSchema(
	bounds: {min?: string; max?: string} = {},
) {
	const min = parseDuration(bounds.min ?? '0ms') ?? 0;
	const max = parseDuration(bounds.max ?? '') ?? Number.POSITIVE_INFINITY;
	return z.unknown().transform((value, context) => {
		const parsed = typeof value === 'string' ? parseDuration(value) : undefined;
		if (parsed !== undefined && parsed >= min && parsed <= max) {
			return parsed;
		}

		context.addIssue({
			code: 'custom',
			message: describeFault(value, parsed),
			params: {expected: describeExpected(bounds)},
		});
		return z.NEVER;
	});
}

function describeFault(value: unknown, parsed: number | undefined): string {
	if (value === undefined) {
		return 'is missing';
	}

	if (parsed !== undefined) {
		return `${formatDuration(parsed)} is out of range`;
	}

	return typeof value === 'number'
		? `${value} has no unit`
		: `${JSON.stringify(value)} is not a duration`;
}

function describeExpected(bounds: {min?: string; max?: string}): string {
	const min = bounds.min ? `, at least ${bounds.min}` : '';
	const max = bounds.max ? `, at most ${bounds.max}` : '';
	return `${expected}${min}${max}`;
}
