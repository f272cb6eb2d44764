/**
 * An open-loop load: requests leave at the instants of a fixed schedule,
 * however slow the answers are, and each latency counts from its scheduled
 * instant. A closed loop would wait for a slow answer before it sends the next
 * request and so leave out the very waits that callers feel (coordinated
 * omission; Tene, "How NOT to Measure Latency").
 */
import type {Dispatcher} from 'undici';
import {build, type Histogram} from 'hdr-histogram-js';

/** What to send, how often and for how long. */
export type LoadOptions = {
	dispatcher: Dispatcher;
	origin: string;
	method: 'GET' | 'PUT';
	path: string;
	headers: Record<string, string>;
	body: Uint8Array | undefined;
	/** Requests a second. */
	rate: number;
	/** Seconds. */
	duration: number;
	/** Seconds at the start whose latencies aren't counted. */
	warmUp: number;
};

/** What came back. Latencies in microseconds. */
export type LoadResult = {
	latencies: Histogram;
	sent: number;
	failed: number;
};

/** An empty histogram of microseconds up to ten seconds, with three digits. */
export function createLatencyHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: 10_000_000,
		numberOfSignificantValueDigits: 3,
	});
}

/** Sends the load and resolves when the last answer is in. */
export async function runOpenLoop(options: LoadOptions): Promise<LoadResult> {
	const {rate, duration, warmUp} = options;
	const result: LoadResult = {
		latencies: createLatencyHistogram(),
		sent: 0,
		failed: 0,
	};
	const total = Math.round(rate * duration);
	const spacing = 1000 / rate;
	const start = performance.now() + spacing;
	const open: Array<Promise<void>> = [];

	const sendOne = async (due: number) => {
		const isCounted = due - start >= warmUp * 1000;
		const isOk = await exchange(options);
		result.sent++;
		result.failed += isOk ? 0 : 1;
		if (isCounted) {
			const latency = (performance.now() - due) * 1000;
			result.latencies.recordValue(Math.max(1, Math.round(latency)));
		}
	};

	for (let next = 0; next < total;) {
		const now = performance.now();
		for (; next < total && start + next * spacing <= now; next++) {
			open.push(sendOne(start + next * spacing));
		}

		// eslint-disable-next-line no-await-in-loop -- until the next instant of the schedule.
		await pause(start + next * spacing - performance.now());
	}

	await Promise.all(open);
	return result;
}

/**
 * Timers of Node are a millisecond coarse; the last stretch before an instant
 * is spent in turns of the event loop, so that the schedule is kept to some
 * tens of microseconds.
 */
async function pause(time: number): Promise<void> {
	await new Promise<void>((resolve) => {
		if (time > 2) {
			setTimeout(resolve, time - 1.5);
		} else {
			setImmediate(resolve);
		}
	});
}

async function exchange({
	dispatcher,
	origin,
	method,
	path,
	headers,
	body,
}: LoadOptions): Promise<boolean> {
	return new Promise((resolve) => {
		let status = 0;
		dispatcher.dispatch(
			{origin, path, method, headers, body: body ?? null},
			{
				onRequestStart() {
					// Nothing to do before the answer.
				},
				onResponseStart(_controller, statusCode) {
					status = statusCode;
				},
				onResponseData() {
					// The body is read and dropped.
				},
				onResponseEnd() {
					resolve(status === 200);
				},
				onResponseError() {
					resolve(false);
				},
			},
		);
	});
}
