/**
 * Reads a YAML (or JSON, which is YAML) document against a zod schema and
 * reports every fault with its line and column. The node's settings and the
 * operators' intents both come in through here.
 */
import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {LineCounter, parseDocument} from 'yaml';
import type {z} from 'zod';
import {createPlaceFinder, type DocumentPath} from './document-place.js';
import {explainIssue, type DocumentIssue} from './document-issue.js';
import type {Finding, Place} from './finding.js';

/** What to read, and by which schema. */
export type DocumentSource<Schema extends z.ZodType> = {
	text: string;
	/** The name that findings give as their file. */
	file: string;
	schema: Schema;
	/**
	 * Faults between several keys, such as two listeners on one port. It sees
	 * the raw value, so that its findings come together with the schema's.
	 */
	check?: (value: unknown) => DocumentIssue[];
};

/**
 * Reads one document.
 *
 * @returns the schema's output, or every finding in the order of the file;
 * a document that isn't YAML gives its syntax errors only, since what follows
 * a syntax error can't be trusted.
 */
export function readDocument<Schema extends z.ZodType>(
	source: DocumentSource<Schema>,
): Result<z.output<Schema>, Finding[]> {
	const {text, file, schema, check} = source;
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

/** Reads a document from a file; a file that can't be read is one finding. */
export function readDocumentFile<Schema extends z.ZodType>(
	source: Omit<DocumentSource<Schema>, 'text'>,
): Result<z.output<Schema>, Finding[]> {
	return readTextFile(source.file).andThen((text) =>
		readDocument({...source, text}),
	);
}

/** Reads a file as text; the finding says why it can't be read. */
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

/** `limits.queueTime`, `services[0].name`. */
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
