/**
 * Stores recorded answers up to a maximum number of bytes. The oldest answers
 * are evicted first; the ledger still records that their requests ran, and
 * reports that to repeats.
 */
import type {Answer} from '@egretspoke/protocol';

/** Answers by the id of their ledger entry. */
export type AnswerStore = {
	add(id: string, answer: Answer): void;
	get(id: string): Answer | undefined;
	remove(id: string): void;
	/** Returns the bytes of all stored answers. */
	bytes(): number;
};

/** Creates a store that holds at most the given number of bytes. */
export function createAnswerStore(bytesCapacity: number): AnswerStore {
	const answers = new Map<string, {answer: Answer; size: number}>();
	let bytes = 0;

	const remove = (id: string) => {
		bytes -= answers.get(id)?.size ?? 0;
		answers.delete(id);
	};

	return {
		add(id, answer) {
			remove(id);
			const size = measure(answer);
			if (size > bytesCapacity) {
				return;
			}

			answers.set(id, {answer: copy(answer), size});
			bytes += size;
			for (const oldest of answers.keys()) {
				if (bytes <= bytesCapacity) {
					break;
				}

				remove(oldest);
			}
		},
		get: (id) => answers.get(id)?.answer,
		remove,
		bytes: () => bytes,
	};
}

function measure(answer: Answer): number {
	let size = answer.body.byteLength;
	for (const [name, value] of Object.entries(answer.headers)) {
		size += name.length + value.length;
	}

	return size;
}

/** Copies the body, which is often a view of a much larger receive buffer that must not be retained. */
function copy(answer: Answer): Answer {
	return {...answer, body: Uint8Array.from(answer.body)};
}
