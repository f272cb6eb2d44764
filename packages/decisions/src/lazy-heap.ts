/** A binary heap with lazy deletion: removed items stay in the heap until they reach the top. */

/** An item that can be marked as removed. */
export type Removable = {isRemoved: boolean};

/** A heap and the order of its items. */
export type LazyHeap<Item extends Removable> = {
	items: Item[];
	isBefore(left: Item, right: Item): boolean;
};

/** Creates an empty heap. */
export function createLazyHeap<Item extends Removable>(
	isBefore: (left: Item, right: Item) => boolean,
): LazyHeap<Item> {
	return {items: [], isBefore};
}

/**
 * Adds an item. `live` is the number of items that aren't removed; when the
 * heap is much larger, the removed ones are dropped.
 */
export function pushItem<Item extends Removable>(
	heap: LazyHeap<Item>,
	item: Item,
	live: number,
): void {
	if (heap.items.length > 2 * live + 64) {
		sweep(heap);
	}

	siftUp(heap, item);
}

/** The first item that isn't removed. */
export function peekItem<Item extends Removable>(
	heap: LazyHeap<Item>,
): Item | undefined {
	while (heap.items[0]?.isRemoved) {
		removeFirst(heap);
	}

	return heap.items[0];
}

function sweep<Item extends Removable>(heap: LazyHeap<Item>): void {
	const remaining = heap.items.filter(({isRemoved}) => !isRemoved);
	heap.items = [];
	for (const item of remaining) {
		siftUp(heap, item);
	}
}

function siftUp<Item extends Removable>(
	{items, isBefore}: LazyHeap<Item>,
	item: Item,
): void {
	let index = items.push(item) - 1;
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		if (!isBefore(item, items[parent]!)) {
			break;
		}

		items[index] = items[parent]!;
		index = parent;
	}

	items[index] = item;
}

function removeFirst<Item extends Removable>({
	items,
	isBefore,
}: LazyHeap<Item>): void {
	const last = items.pop();
	if (last === undefined || items.length === 0) {
		return;
	}

	let index = 0;
	for (let child = 1; child < items.length; child = 2 * index + 1) {
		const right = items[child + 1];
		if (right && isBefore(right, items[child]!)) {
			child++;
		}

		if (!isBefore(items[child]!, last)) {
			break;
		}

		items[index] = items[child]!;
		index = child;
	}

	items[index] = last;
}
