/**
 * Deadlines of attempts, by the bucket. Nearly all of them are taken back
 * before they are due; as timers of the clock they would stay in its heap
 * until then, and the run would spend its time on sorting them.
 */
import type {Clock, Timer} from '@egretspoke/shared';

/** Milliseconds of one bucket: an attempt is given up at most so much late. */
const bucketSize = 2;

/** Sets deadlines that are kept to within two milliseconds, never early. */
export type DeadlineWheel = {
	set(at: number, callback: () => void): Timer;
};

type Entry = {callback: () => void};

/** Creates a wheel without deadlines. */
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
