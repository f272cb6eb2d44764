/**
 * Tracks when entries of the ledger may be removed. Failure with the wall clock
 * alone: it is set back after a key was removed, the key appears unexpired, and
 * its request runs a second time. So an entry is stored until its key has
 * expired both by the wall clock and by the monotonic clock, and an unknown key
 * is rejected unless it expires later than every key removed so far.
 */
import type {Clock} from '@egretspoke/shared';

/** The fields of an entry that the index uses. */
export type Expiring = {
	/** Milliseconds since 1970. */
	expiry: number;
	/** The same instant on the monotonic clock, computed when the entry was created. */
	expiresAt: number;
};

/** Entries grouped by the second in which they expire. */
export type ExpiryIndex<T extends Expiring> = {
	add(entry: T): void;
	remove(entry: T): void;
	/** Removes entries that have expired on both clocks; runs at most once per second. */
	sweep(): void;
	/** Returns true when the entry has expired on either clock. */
	isExpired(entry: T): boolean;
	/** Returns true when an unknown key with this expiry must be refused. */
	hasPassed(expiry: number): boolean;
	/** Returns the wall clock in milliseconds since 1970. */
	wallTime(): number;
	/** Returns the milliseconds until the first group expires; at least a second. */
	untilNextExpiry(): number;
};

/** Milliseconds. */
const groupWidth = 1000;

/** Creates an empty index; `onRemove` is called for each entry that `sweep` removes. */
export function createExpiryIndex<T extends Expiring>(
	clock: Clock,
	onRemove: (entry: T) => void,
): ExpiryIndex<T> {
	const groups = new Map<number, Set<T>>();
	let maxRemovedExpiry = Number.NEGATIVE_INFINITY;
	let nextSweep = Number.NEGATIVE_INFINITY;

	const wallTime = () => clock.date().getTime();

	const remove = (entry: T) => {
		const group = groups.get(groupOf(entry));
		group?.delete(entry);
		if (group?.size === 0) {
			groups.delete(groupOf(entry));
		}
	};

	const sweepGroup = (group: Set<T>) => {
		for (const entry of group) {
			if (entry.expiresAt <= clock.now()) {
				maxRemovedExpiry = Math.max(maxRemovedExpiry, entry.expiry);
				remove(entry);
				onRemove(entry);
			}
		}
	};

	return {
		add(entry) {
			const group = groups.get(groupOf(entry)) ?? new Set();
			group.add(entry);
			groups.set(groupOf(entry), group);
		},
		remove,
		sweep() {
			if (clock.now() < nextSweep) {
				return;
			}

			nextSweep = clock.now() + groupWidth;
			const passed = Math.floor(wallTime() / groupWidth);
			for (const [second, group] of groups) {
				if (second < passed) {
					sweepGroup(group);
				}
			}
		},
		isExpired: (entry) =>
			wallTime() >= entry.expiry || clock.now() >= entry.expiresAt,
		hasPassed: (expiry) => wallTime() >= expiry || expiry <= maxRemovedExpiry,
		wallTime,
		untilNextExpiry() {
			const first = Math.min(...groups.keys());
			return Math.max(groupWidth, (first + 1) * groupWidth - wallTime());
		},
	};
}

function groupOf(entry: Expiring): number {
	return Math.floor(entry.expiry / groupWidth);
}
