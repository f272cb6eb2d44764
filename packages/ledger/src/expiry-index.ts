/**
 * When entries of the ledger may be forgotten. What goes wrong with one clock
 * alone: the wall clock is set back after a key was forgotten, the key looks
 * unexpired again, and its request runs a second time. So an entry is kept
 * until both the wall time of its key and the monotonic time since it came in
 * have passed, and no unknown key is taken whose expiry is not later than that
 * of a key already forgotten.
 */
import type {Clock} from '@egretspoke/shared';

/** What the index reads of an entry. */
export type Expiring = {
	/** Milliseconds since 1970. */
	expiry: number;
	/** The same instant on the monotonic clock, reckoned when it came in. */
	expiresAt: number;
};

/** Entries in groups by the second in which they expire. */
export type ExpiryIndex<T extends Expiring> = {
	add(entry: T): void;
	remove(entry: T): void;
	/** Forgets what has expired on both clocks; at most once a second. */
	sweep(): void;
	/** True when the entry has expired on either clock. */
	isExpired(entry: T): boolean;
	/** True when an unknown key with this expiry must be refused. */
	hasPassed(expiry: number): boolean;
	/** Milliseconds since 1970. */
	wallTime(): number;
	/** Milliseconds until the first group expires; at least a second. */
	untilNextExpiry(): number;
};

const groupWidth = 1000;

/** Creates an empty index. */
export function createExpiryIndex<T extends Expiring>(
	clock: Clock,
	forget: (entry: T) => void,
): ExpiryIndex<T> {
	const groups = new Map<number, Set<T>>();
	let forgottenThrough = Number.NEGATIVE_INFINITY;
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
				forgottenThrough = Math.max(forgottenThrough, entry.expiry);
				remove(entry);
				forget(entry);
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
		hasPassed: (expiry) => wallTime() >= expiry || expiry <= forgottenThrough,
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
