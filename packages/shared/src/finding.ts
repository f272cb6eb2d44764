/**
 * A finding is one fault in what somebody wrote: a settings file, an intent, a
 * command line. Findings are collected and reported together, each with its
 * place, so that one run of a command shows all there is to mend.
 */

/** Where in a document a finding stands; lines and columns count from 1. */
export type Place = {
	file: string;
	line: number;
	column: number;
};

/** One fault, its place, and what the reader should do about it. */
export type Finding = {
	place?: Place;
	/** The key's path within the document, such as `limits.queueTime`. */
	path: string;
	/** What is wrong. */
	message: string;
	/** What was expected, or the nearest known key. */
	advice?: string;
};

/** One line a finding: `file:line:column path: message (advice)`. */
export function formatFinding(finding: Finding): string {
	const {place, path, message, advice} = finding;
	const where = place ? `${place.file}:${place.line}:${place.column} ` : '';
	const key = path === '' ? '' : `${path}: `;
	return `${where}${key}${message}${advice ? ` (${advice})` : ''}`;
}
