/** Marks that identify a request and its answer on both sides of the code under test. */

/** Ids of the caller's attempt and of its request. */
export type RequestMark = {attempt: string; key: string};

const names = {attempt: 'x-attempt', key: 'x-key'} as const;
const maxAnswerLength = 2000;

/** Encodes the mark as headers. */
export function writeMark(mark: RequestMark): Record<string, string> {
	return {[names.attempt]: mark.attempt, [names.key]: mark.key};
}

/** Decodes the mark; a request without one is `unmarked`. */
export function readMark(headers: Record<string, string>): RequestMark {
	return {
		attempt: headers[names.attempt] ?? 'unmarked',
		key: headers[names.key] ?? 'unmarked',
	};
}

/** The expected answer to a key; its length and content depend on the key. */
export function writeAnswerBody(key: string): Uint8Array {
	const line = `answer to ${key};`;
	const length = line.length + ((key.length * 7919) % maxAnswerLength);
	return new TextEncoder().encode(line.repeat(200).slice(0, length));
}
