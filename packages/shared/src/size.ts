/** Sizes written as a number with a unit: `512B`, `16KB`, `32MB`; units are powers of 1024. */
import {z} from 'zod';
import {readQuantity, formatQuantity, type Unit} from './quantity.js';

const sizeUnits: readonly Unit[] = [
	{suffix: 'B', factor: 1},
	{suffix: 'KB', factor: 1024},
	{suffix: 'MB', factor: 1024 ** 2},
	{suffix: 'GB', factor: 1024 ** 3},
];

const expected = 'expected a number with B, KB, MB or GB, such as 32MB';

/** Parses a text such as `32MB` into bytes; returns undefined when it is not a size. */
export function parseSize(text: string): number | undefined {
	const bytes = readQuantity(text, sizeUnits);
	return bytes === undefined ? undefined : Math.round(bytes);
}

/** Formats bytes as the shortest exact text, such as `32MB`. */
export function formatSize(bytes: number): string {
	return formatQuantity(bytes, sizeUnits);
}

/** The schema of a size above zero in a document; its output is in bytes. */
export const sizeSchema = z.unknown().transform((value, context) => {
	const parsed = typeof value === 'string' ? parseSize(value) : undefined;
	if (parsed !== undefined && parsed > 0) {
		return parsed;
	}

	context.addIssue({
		code: 'custom',
		message: describeFault(value, parsed),
		params: {expected},
	});
	return z.NEVER;
});

function describeFault(value: unknown, parsed: number | undefined): string {
	if (value === undefined) {
		return 'is missing';
	}

	if (parsed !== undefined) {
		return `${formatSize(parsed)} is too small`;
	}

	return typeof value === 'number'
		? `${value} has no unit`
		: `${JSON.stringify(value)} is not a size`;
}
