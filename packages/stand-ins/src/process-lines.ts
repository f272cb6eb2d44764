/** Parses the lines that the project's processes print when they start. */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {readJson} from './child-process.js';

/** Resolves a script in the directory of a package's entry, a URL from `import.meta.resolve`. */
export function resolveScript(packageEntry: string, script: string): string {
	return path.join(path.dirname(fileURLToPath(packageEntry)), script);
}

/** Reads a string property from a line of JSON. */
export function readText(line: string, name: string): string | undefined {
	const value = readJson(line)?.[name];
	return typeof value === 'string' ? value : undefined;
}

/** Reads the listeners' addresses, `ip:port`, from a node's `started` log line. */
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
