/** How a request and its answer are recognised at both ends of the code under test. */

/** The caller's attempt and the key of the request behind it. */
export type RequestMark = {attempt: string; key: string};

const names = {attempt: 'x-attempt', key: 'x-key'} as const;
const maxAnswerLength = 2000;

/** Headers that carry the mark. */
export function writeMark(mark: RequestMark): Record<string, string> {
	return {[names.attempt]: mark.attempt, [names.key]: mark.key};
}

/** The mark of a request that carries one. */
export function readMark(headers: Record<string, string>): RequestMark {
	return {
		attempt: headers[names.attempt] ?? 'unmarked',
		key: headers[names.key] ?? 'unmarked',
	};
}

/** The one right answer to a key: its length and its bytes depend on the key. */
export function writeAnswerBody(key: string): Uint8Array {
	const line = `answer to ${key};`;
	const length = line.length + ((key.length * 7919) % maxAnswerLength);
	return new TextEncoder().encode(line.repeat(200).slice(0, length));
}
