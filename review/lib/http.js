/** Reads HTTP/1.1 messages with a length from a byte stream, one after the other. */
import {Buffer} from 'node:buffer';

/** Returns a function that takes received bytes and calls `onMessage` for each complete message. */
export function createMessageReader(onMessage) {
	let chunks = [];
	let size = 0;
	/** Bytes needed before the next look. */
	let wanted = 0;
	let head;

	const takeHead = (bytes) => {
		const end = bytes.indexOf('\r\n\r\n');
		if (end === -1) {
			return undefined;
		}

		const [start, ...lines] = bytes
			.subarray(0, end)
			.toString('latin1')
			.split('\r\n');
		const headers = new Map(
			lines.map((line) => {
				const colon = line.indexOf(':');
				return [
					line.slice(0, colon).toLowerCase(),
					line.slice(colon + 1).trim(),
				];
			}),
		);
		return {
			start,
			headers,
			bodyStart: end + 4,
			length: Number(headers.get('content-length') ?? 0),
		};
	};

	return (chunk) => {
		chunks.push(chunk);
		size += chunk.byteLength;
		if (size < wanted) {
			return;
		}

		let bytes = Buffer.concat(chunks);
		for (;;) {
			head ??= takeHead(bytes);
			const needed = head ? head.bodyStart + head.length : 0;
			if (!head || bytes.byteLength < needed) {
				wanted = needed;
				break;
			}

			const {start, headers, bodyStart} = head;
			const body = bytes.subarray(bodyStart, needed);
			bytes = bytes.subarray(needed);
			head = undefined;
			onMessage({start, headers, body});
		}

		chunks = [bytes];
		size = bytes.byteLength;
	};
}
