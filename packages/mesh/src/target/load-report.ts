/** Reports the load of the local target to the other nodes when it has changed significantly. */
import type {Clock} from '@egretspoke/shared';
import {idleLoad, type TargetLoad} from '../links/exchange.js';
import {tickInterval, type Ticker} from '../timing/ticker.js';

/** Dependencies of the report. */
export type LoadReportOptions = {
	clock: Clock;
	/** Stops the report. */
	signal: AbortSignal;
	ticker: Ticker;
	load: () => TargetLoad;
	/** Number of nodes that receive each report. */
	listeners: () => number;
	report: (load: TargetLoad) => void;
};

/** Interval between reports per listener, in milliseconds: with 50 listeners, each receives one every 400 ms at most. */
const reportIntervalPerListener = 8;
/** Minimum change of occupancy or failure share that is reported. */
const minReportedChange = 0.2;
/** Minimum change of the shed level that is reported; it takes effect on admission at once. */
const minReportedLevelChange = 0.04;
/** Occupancy below which a target has free slots in any case; changes below it are reported only with outcomes of requests. */
const busyOccupancy = 0.5;

/** Creates a report that has not started. */
export function createLoadReport(options: LoadReportOptions): {start(): void} {
	const {clock, signal, ticker, listeners, report} = options;
	let reported = idleLoad;
	/** When the ticker runs the next check; infinite if a timer does. */
	let dueAt = Number.POSITIVE_INFINITY;

	const check = () => {
		if (signal.aborted) {
			return;
		}

		const load = options.load();
		if (isSignificantChange(load, reported)) {
			reported = load;
			report(load);
		}

		const interval = reportIntervalPerListener * Math.max(1, listeners());
		if (interval < tickInterval) {
			dueAt = Number.POSITIVE_INFINITY;
			clock.setTimer(interval, check);
		} else {
			// Rounded to whole ticks, at which the node wakes up in any case.
			dueAt = clock.now() + interval - tickInterval / 2;
		}
	};

	return {
		start() {
			ticker.schedule(tickInterval, () => {
				if (clock.now() >= dueAt) {
					check();
				}
			});
			check();
		},
	};
}

/** Whether a load differs so much from the last reported one that entry nodes should know. */
export function isSignificantChange(
	load: TargetLoad,
	reported: TargetLoad,
): boolean {
	const isBusy = Math.max(load.occupancy, reported.occupancy) >= busyOccupancy;
	return (
		load.rate?.limit !== reported.rate?.limit ||
		Math.abs(load.shedLevel - reported.shedLevel) >= minReportedLevelChange ||
		(load.shedLevel === 0 && reported.shedLevel > 0) ||
		Math.abs(load.failureShare - reported.failureShare) >= minReportedChange ||
		(isBusy &&
			Math.abs(load.occupancy - reported.occupancy) >= minReportedChange)
	);
}
