/**
 * Open-loop load generator: requests are sent on a fixed schedule regardless of
 * response times, and latencies are measured from the scheduled times. A closed
 * loop waits for slow responses before it sends the next request, and so omits
 * the waits that callers experience (coordinated omission; Tene, "How NOT to
 * Measure Latency").
 */
import type {Dispatcher} from 'undici';
import {build, type Histogram} from 'hdr-histogram-js';

/** Options of the load. */
export type LoadOptions = {
	dispatcher: Dispatcher;
	origin: string;
	method: 'GET' | 'PUT';
	path: string;
	headers: Record<string, string>;
	body: Uint8Array | undefined;
	/** Requests a second. */
	rate: number;
	/** Duration in seconds. */
	duration: number;
	/** Initial seconds whose latencies are excluded. */
	warmUp: number;
};

/** Result of the load; latencies in microseconds. */
export type LoadResult = {
	latencies: Histogram;
	sent: number;
	failed: number;
};

/** Creates a histogram of microseconds up to ten seconds, with three significant digits. */
export function createLatencyHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: 10_000_000,
		numberOfSignificantValueDigits: 3,
	});
}

/** Sends the load; resolves after the last response. */
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

		// eslint-disable-next-line no-await-in-loop -- until the next scheduled time.
		await pause(start + next * spacing - performance.now());
	}

	await Promise.all(open);
	return result;
}

/**
 * Waits for up to `time` milliseconds. Node's timers have a resolution of one
 * millisecond, so the last two are spent in event loop iterations; this keeps
 * the schedule within some tens of microseconds.
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
					// Nothing to do before the response.
				},
				onResponseStart(_controller, statusCode) {
					status = statusCode;
				},
				onResponseData() {
					// The body is discarded.
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
