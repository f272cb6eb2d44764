/**
 * Writes the header of a WebSocket frame directly before its payload, so that
 * a frame is one buffer and one write to the socket. `ws` writes the header
 * and the payload as two buffers, which takes the slower path of the stream
 * for several buffers.
 */

/** Maximum length of a header: two bytes, eight of length, four of mask. */
export const maxHeaderLength = 14;

/** Final fragment of a binary message (RFC 6455, section 5.2). */
const binaryFrame = 0x82;
const maskFlag = 0x80;
/** Values of the length field that announce a longer one. */
const length16 = 126;
const length64 = 127;

/**
 * Adds a header to a payload.
 *
 * @param buffer - `maxHeaderLength` unused bytes, followed by the payload.
 * @param isMasked - Whether the frame has a mask, as those of clients must. It is
 * zero, which leaves the payload unchanged: the peers of a deployment share a
 * private network, and masking only protects the proxies of browsers.
 * @returns The frame, a part of the buffer.
 */
export function addFrameHeader(
	buffer: Uint8Array,
	isMasked: boolean,
): Uint8Array {
	const length = buffer.length - maxHeaderLength;
	const lengthBytes = length < length16 ? 0 : length < 65_536 ? 2 : 8;
	const maskBytes = isMasked ? 4 : 0;
	const start = maxHeaderLength - 2 - lengthBytes - maskBytes;
	buffer.fill(0, start, maxHeaderLength);
	buffer[start] = binaryFrame;
	const code =
		lengthBytes === 0 ? length : lengthBytes === 2 ? length16 : length64;
	buffer[start + 1] = code + (isMasked ? maskFlag : 0);
	let rest = length;
	for (let index = start + 1 + lengthBytes; index > start + 1; index--) {
		buffer[index] = rest % 256;
		rest = Math.floor(rest / 256);
	}

	return buffer.subarray(start);
}
