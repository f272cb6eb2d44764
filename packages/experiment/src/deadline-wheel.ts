/**
 * Timers for the deadlines of attempts, grouped in buckets. Nearly all of them
 * are cancelled before they expire; as timers of the clock they would stay in
 * its heap until then, and sorting them would dominate the run time.
 */
import type {Clock, Timer} from '@egretspoke/shared';

/** Width of a bucket in milliseconds; a deadline fires late by at most this much. */
const bucketSize = 2;

/** Sets timers that fire at most two milliseconds late, never early. */
export type DeadlineWheel = {
	set(at: number, callback: () => void): Timer;
};

type Entry = {callback: () => void};

/** Creates an empty wheel. */
export function createDeadlineWheel(clock: Clock): DeadlineWheel {
	const buckets = new Map<number, Set<Entry>>();

	const createBucket = (index: number) => {
		const bucket = new Set<Entry>();
		buckets.set(index, bucket);
		clock.setTimer(index * bucketSize - clock.now(), () => {
			buckets.delete(index);
			for (const entry of bucket) {
				bucket.delete(entry);
				entry.callback();
			}
		});
		return bucket;
	};

	return {
		set(at, callback) {
			const index = Math.ceil(at / bucketSize);
			const bucket = buckets.get(index) ?? createBucket(index);
			const entry = {callback};
			bucket.add(entry);
			return {
				cancel() {
					bucket.delete(entry);
				},
			};
		},
	};
}
