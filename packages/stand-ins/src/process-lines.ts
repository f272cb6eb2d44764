/** What the project's processes print when they start, for those who start them. */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {readJson} from './child-process.js';

/** The script beside a package's packageEntry; the packageEntry comes from `import.meta.resolve`. */
export function resolveScript(packageEntry: string, script: string): string {
	return path.join(path.dirname(fileURLToPath(packageEntry)), script);
}

/** A text of a line of JSON. */
export function readText(line: string, name: string): string | undefined {
	const value = readJson(line)?.[name];
	return typeof value === 'string' ? value : undefined;
}

/** The addresses, `ip:port`, in the JSON line with which a node says that it has started. */
export function readStartedNode(
	line: string,
): {caller: string; peer: string; admin: string} | undefined {
	const event = readJson(line);
	if (event?.name !== 'started') {
		return undefined;
	}

	const details = event.details as Record<string, unknown>;
	const read = (name: string) => String(details[name]);
	return {caller: read('caller'), peer: read('peer'), admin: read('admin')};
}
