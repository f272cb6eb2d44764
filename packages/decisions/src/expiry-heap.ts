/** A binary heap of what is due first; removed items stay until they surface. */

/** An item with the instant at which it is due. */
export type Expiring = {until: number; isGone: boolean};

/** Adds an item. */
export function pushExpiring<T extends Expiring>(heap: T[], item: T): void {
	let index = heap.push(item) - 1;
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		if (untilAt(heap, parent) <= item.until) {
			break;
		}

		heap[index] = heap[parent]!;
		index = parent;
	}

	heap[index] = item;
}

/** The item that is due first and not gone. */
export function peekExpiring<T extends Expiring>(heap: T[]): T | undefined {
	while (heap[0]?.isGone) {
		removeFirst(heap);
	}

	return heap[0];
}

/** Takes the item that is due first, once it is due. */
export function popDue<T extends Expiring>(
	heap: T[],
	now: number,
): T | undefined {
	const first = peekExpiring(heap);
	if (first === undefined || first.until > now) {
		return undefined;
	}

	removeFirst(heap);
	return first;
}

/** Drops the items that are gone when they are most of the heap, so that it stays bounded by the live ones. */
export function sweepGone<T extends Expiring>(heap: T[], live: number): void {
	if (heap.length <= 2 * live + 64) {
		return;
	}

	const kept = heap.filter(({isGone}) => !isGone);
	heap.length = 0;
	for (const item of kept) {
		pushExpiring(heap, item);
	}
}

function removeFirst(heap: Expiring[]): void {
	const last = heap.pop();
	if (last === undefined || heap.length === 0) {
		return;
	}

	let index = 0;
	for (;;) {
		let child = 2 * index + 1;
		if (child >= heap.length) {
			break;
		}

		if (untilAt(heap, child + 1) < untilAt(heap, child)) {
			child++;
		}

		if (untilAt(heap, child) >= last.until) {
			break;
		}

		heap[index] = heap[child]!;
		index = child;
	}

	heap[index] = last;
}

function untilAt(heap: Expiring[], index: number): number {
	return heap[index]?.until ?? Number.POSITIVE_INFINITY;
}
