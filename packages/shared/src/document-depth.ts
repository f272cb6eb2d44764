/**
 * Finds documents that are nested too deeply, without recursion. The parser
 * recurses, and an overflow of its stack can end the process instead of
 * throwing: V8 aborts when it compiles a regular expression there.
 */
import {Lexer} from 'yaml';

/** Maximum number of open lists and maps in braces or brackets. */
const maxFlowDepth = 64;

/** A line whose structure begins with more than 128 columns of indentation and indicators. */
const deepIndentation = /^[ \t\-?:]{129}/mu;

const steps = new Map([
	['[', 1],
	['{', 1],
	[']', -1],
	['}', -1],
]);

/** Whether the YAML text is nested more deeply than any document that people write. */
export function isNestedTooDeeply(text: string): boolean {
	if (deepIndentation.test(text)) {
		return true;
	}

	let depth = 0;
	for (const token of new Lexer().lex(text)) {
		depth = Math.max(0, depth + (steps.get(token) ?? 0));
		if (depth > maxFlowDepth) {
			return true;
		}
	}

	return false;
}
