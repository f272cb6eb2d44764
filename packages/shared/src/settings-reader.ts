/**
 * Validates a YAML document (JSON is a subset) against a zod schema and reports
 * all faults with line and column. Used for the settings of nodes and the
 * intents of operators.
 */
import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {LineCounter, parseDocument} from 'yaml';
import type {z} from 'zod';
import {isNestedTooDeeply} from './document-depth.js';
import {createPlaceFinder, type DocumentPath} from './document-place.js';
import {explainIssue, type DocumentIssue} from './document-issue.js';
import type {Finding, Place} from './finding.js';

/** A document and its schema. */
export type DocumentSource<Schema extends z.ZodType> = {
	text: string;
	/** The file name in findings. */
	file: string;
	schema: Schema;
	/**
	 * Checks for conflicts between keys, such as two listeners on one port. It
	 * receives the raw value, so that its findings are reported together with
	 * those of the schema.
	 */
	check?: (value: unknown) => DocumentIssue[];
};

/**
 * Parses and validates one document.
 *
 * @returns the output of the schema, or all findings in the order of the file.
 * For invalid YAML only the syntax errors are returned, because the content
 * after a syntax error is unreliable.
 */
export function readDocument<Schema extends z.ZodType>(
	source: DocumentSource<Schema>,
): Result<z.output<Schema>, Finding[]> {
	const {text, file, schema, check} = source;
	if (isNestedTooDeeply(text)) {
		const place: Place = {file, line: 1, column: 1};
		return err([{place, path: '', message: 'is nested too deeply'}]);
	}

	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines});
	const syntax = document.errors.map((error): Finding => {
		const {line, col} = lines.linePos(error.pos[0]);
		return {
			place: {file, line, column: col},
			path: '',
			message: firstLine(error.message),
		};
	});
	if (document.errors.some(({code}) => code !== 'DUPLICATE_KEY')) {
		return err(syntax);
	}

	let value: unknown;
	try {
		value = document.toJS();
		// Findings quote values, which throws when an alias makes one contain itself.
		JSON.stringify(value);
	} catch (error) {
		const place: Place = {file, line: 1, column: 1};
		return err([{place, path: '', message: firstLine(String(error))}]);
	}

	const parsed = schema.safeParse(value);
	const issues = [
		...(parsed.success
			? []
			: parsed.error.issues.flatMap((issue) =>
					explainIssue(issue, schema, value),
				)),
		...(check?.(value) ?? []),
	];
	const findPlace = createPlaceFinder(document, lines, file);
	const findings = [
		...syntax,
		...issues.map(({path, part, message, advice}): Finding => ({
			place: findPlace(path, part ?? 'value'),
			path: formatPath(path),
			message,
			...(advice === undefined ? {} : {advice}),
		})),
	].sort(compareFindings);
	return parsed.success && findings.length === 0
		? ok(parsed.data)
		: err(findings);
}

/** Reads and validates a file; a file that cannot be read gives one finding. */
export function readDocumentFile<Schema extends z.ZodType>(
	source: Omit<DocumentSource<Schema>, 'text'>,
): Result<z.output<Schema>, Finding[]> {
	return readTextFile(source.file).andThen((text) =>
		readDocument({...source, text}),
	);
}

/** Reads a file as text; on failure the finding contains the reason. */
export function readTextFile(file: string): Result<string, Finding[]> {
	try {
		return ok(readFileSync(file, 'utf8'));
	} catch (error) {
		const {code, message} = error as NodeJS.ErrnoException;
		return err([
			{
				place: {file, line: 1, column: 1},
				path: '',
				message: `cannot read the file: ${code ?? message}`,
				advice: 'expected a YAML file that this user may read',
			},
		]);
	}
}

/** Formats a path, such as `limits.queueTime` or `services[0].name`. */
export function formatPath(path: DocumentPath): string {
	let text = '';
	for (const step of path) {
		text +=
			typeof step === 'number'
				? `[${step}]`
				: `${text === '' ? '' : '.'}${String(step)}`;
	}

	return text;
}

function compareFindings(left: Finding, right: Finding): number {
	return (
		(left.place?.line ?? 0) - (right.place?.line ?? 0) ||
		(left.place?.column ?? 0) - (right.place?.column ?? 0)
	);
}

function firstLine(text: string): string {
	return (text.split('\n')[0] ?? '').replace(
		/ at line \d+, column \d+:?$/u,
		'',
	);
}
