/**
 * Checks the lengths in MessagePack before it is decoded. The decoder allocates
 * each list by its stated length: 50 bytes that state ten nested lists of 16
 * million items took 1.3 GB, and the platform ends a process that exceeds its
 * memory.
 */

/** Bytes that follow a type byte from 0xc0 to 0xdf, without what its length states. */
const fixedSizes = [
	// Nil, unused, false, true.
	0, 0, 0, 0,
	// Binary and extension with a length of 1, 2 and 4 bytes.
	1, 2, 4, 2, 3, 5,
	// Floating-point numbers, unsigned and signed integers.
	4, 8, 1, 2, 4, 8, 1, 2, 4, 8,
	// Extensions of a fixed length, with their type.
	2, 3, 5, 9, 17,
	// Text, list and table with a length of 1, 2 and 4 bytes.
	1, 2, 4, 2, 4, 2, 4,
] as const;

/** Bytes of the length that follows a type byte from 0xc0 to 0xdf. */
const lengthSizes = [
	0, 0, 0, 0, 1, 2, 4, 1, 2, 4, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1,
	2, 4, 2, 4, 2, 4,
] as const;

const firstList = 0xdc;
const firstTable = 0xde;

const longList = 0xdd;
/** Lists of up to 65,535 items that are decoded unchecked; each takes at most half a megabyte. */
const maxUnchecked = 16;

/** Whether decoding allocates little more than the bytes themselves take. */
export function isAllocationBounded(bytes: Uint8Array): boolean {
	return !mayStateLongLists(bytes) || holdsItsItems(bytes);
}

/** Most frames are ruled out by these searches, which are native code. */
function mayStateLongLists(bytes: Uint8Array): boolean {
	if (bytes.includes(longList)) {
		return true;
	}

	let position = -1;
	for (let found = 0; found <= maxUnchecked; found++) {
		position = bytes.indexOf(firstList, position + 1);
		if (position === -1) {
			return false;
		}
	}

	return true;
}

/** Whether all items that the lists and tables of one encoded value state can follow within its bytes. */
function holdsItsItems(bytes: Uint8Array): boolean {
	const {length} = bytes;
	let position = 0;
	let expected = 1;
	while (expected > 0) {
		if (expected > length - position) {
			return false;
		}

		expected--;
		const type = bytes[position++]!;
		if (type < 0x80 || type >= 0xe0) {
			continue;
		}

		if (type < 0x90) {
			expected += 2 * (type - 0x80);
		} else if (type < 0xa0) {
			expected += type - 0x90;
		} else if (type < 0xc0) {
			position += type - 0xa0;
		} else {
			const index = type - 0xc0;
			let stated = 0;
			const lengthEnd = position + lengthSizes[index]!;
			for (let at = position; at < lengthEnd; at++) {
				stated = stated * 256 + (bytes[at] ?? 0);
			}

			position += fixedSizes[index]!;
			if (type >= firstTable) {
				expected += 2 * stated;
			} else if (type >= firstList) {
				expected += stated;
			} else {
				position += stated;
			}
		}
	}

	return true;
}
