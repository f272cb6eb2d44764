/**
 * A mutex with a queue: admits one isolated request at a time to a target.
 * Load pattern: requests that were running at the same two crashes, one of which
 * caused them, arrive at a target together. If they ran concurrently, the third
 * crash would count against all of them.
 */

/** The isolation of one target. */
export type Isolation<Item> = {
	/** Admits the item unless another one holds the isolation; otherwise queues it and returns false. */
	enter(item: Item): boolean;
	/**
	 * Releases the isolation if the item holds it; returns the next queued item,
	 * which must call `enter` again.
	 */
	leave(item: Item): Item | undefined;
	/** Removes an item from the queue; false when it is not queued. */
	withdraw(item: Item): boolean;
	/** Removes and returns the queued items that match the predicate. */
	removeWhere(predicate: (item: Item) => boolean): Item[];
	/** Returns the number of queued items. */
	waiting(): number;
};

/** Creates an isolation that no item holds. */
export function createIsolation<Item>(): Isolation<Item> {
	let current: Item | undefined;
	let waiting: Item[] = [];
	return {
		enter(item) {
			if (current !== undefined && current !== item) {
				waiting.push(item);
				return false;
			}

			current = item;
			return true;
		},
		leave(item) {
			if (current !== item) {
				return undefined;
			}

			current = undefined;
			return waiting.shift();
		},
		withdraw(item) {
			const index = waiting.indexOf(item);
			if (index !== -1) {
				waiting.splice(index, 1);
			}

			return index !== -1;
		},
		removeWhere(predicate) {
			const removed = waiting.filter((item) => predicate(item));
			waiting = waiting.filter((item) => !predicate(item));
			return removed;
		},
		waiting: () => waiting.length,
	};
}
