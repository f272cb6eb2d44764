/**
 * Lets one request at a time through, and keeps the others until it has ended.
 *
 * Load pattern: requests that met the same two crashes, one of which caused
 * them, come to a target together. Run side by side, the third crash would be
 * put down to all of them.
 */

/** The isolation at one target. */
export type Isolation<Item> = {
	/** Takes the place; false when it is taken, and the item waits for it. */
	enter(item: Item): boolean;
	/** Gives the place back, if the item has it; gives the next one that waits, which has to enter again. */
	leave(item: Item): Item | undefined;
	/** Takes one that waits out; false when it isn't waiting. */
	withdraw(item: Item): boolean;
	/** Takes those that wait and fulfil the condition out. */
	removeWhere(isConcerned: (item: Item) => boolean): Item[];
	waiting(): number;
};

/** Creates an isolation whose place is free. */
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
		removeWhere(isConcerned) {
			const taken = waiting.filter((item) => isConcerned(item));
			waiting = waiting.filter((item) => !isConcerned(item));
			return taken;
		},
		waiting: () => waiting.length,
	};
}
