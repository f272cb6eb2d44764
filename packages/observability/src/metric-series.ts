/**
 * Series of metrics, by their labels, that are recorded on the request path.
 *
 * For each value, prom-client checks, sorts and concatenates the labels. Here a
 * value only increments a counter or is appended to a list; the values are
 * passed on together, before a collection or when the list is full.
 */
import type {Counter, Histogram} from 'prom-client';

type Labels = Readonly<Record<string, string>>;

/** One series of a counter. */
export class CounterSeries {
	private pending = 0;

	constructor(
		private readonly counter: Counter,
		private readonly labels: Labels,
	) {}

	increment(): void {
		this.pending++;
	}

	/** Passes the recorded increments on to the metric. */
	flush(): void {
		if (this.pending > 0) {
			this.counter.inc(this.labels, this.pending);
			this.pending = 0;
		}
	}
}

/** Values that are kept before they are passed on; passing them on takes about a quarter of a millisecond. */
const maxPending = 256;

/** One series of a histogram of durations. */
export class DurationSeries {
	private readonly pending: number[] = [];

	constructor(
		private readonly histogram: Histogram,
		private readonly labels: Labels,
		private readonly scale: number,
	) {}

	record(duration: number): void {
		this.pending.push(duration);
		if (this.pending.length >= maxPending) {
			this.flush();
		}
	}

	/** Passes the recorded durations on to the metric. */
	flush(): void {
		for (const duration of this.pending) {
			this.histogram.observe(this.labels, duration * this.scale);
		}

		this.pending.length = 0;
	}
}

/** The series of one metric by the value of a label, or by a key that combines several. */
export class SeriesMap<Series extends {flush(): void}> {
	private readonly byKey = new Map<string, Series>();

	get(key: string): Series | undefined {
		return this.byKey.get(key);
	}

	add(key: string, series: Series): Series {
		this.byKey.set(key, series);
		return series;
	}

	flush(): void {
		for (const series of this.byKey.values()) {
			series.flush();
		}
	}
}
