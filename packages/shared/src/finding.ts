/**
 * A finding is one fault in user input: a settings file, an intent or a command
 * line. Findings are collected and reported together, each with its place, so
 * that one run of a command reports all faults.
 */

/** A position in a document; lines and columns start at 1. */
export type Place = {
	file: string;
	line: number;
	column: number;
};

/** One fault, its place, and advice on how to correct it. */
export type Finding = {
	place?: Place;
	/** The key's path within the document, such as `limits.queueTime`. */
	path: string;
	/** The fault. */
	message: string;
	/** What was expected, or the nearest known key. */
	advice?: string;
};

/** Formats a finding as one line: `file:line:column path: message (advice)`. */
export function formatFinding(finding: Finding): string {
	const {place, path, message, advice} = finding;
	const where = place ? `${place.file}:${place.line}:${place.column} ` : '';
	const key = path === '' ? '' : `${path}: `;
	return `${where}${key}${message}${advice ? ` (${advice})` : ''}`;
}
