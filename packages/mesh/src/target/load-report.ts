/** Reports the load of the local target to the other nodes when it has changed significantly. */
import type {Clock} from '@egretspoke/shared';
import {idleLoad, type TargetLoad} from '../links/exchange.js';

/** Dependencies of the report. */
export type LoadReportOptions = {
	clock: Clock;
	/** Stops the report. */
	signal: AbortSignal;
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
/** Minimum change of the declined share and its level that is reported: the noise of a share of 24 offers. */
const minReportedDeclinedChange = 0.1;
/** Occupancy below which a target has free slots in any case; changes below it are reported only with outcomes of requests. */
const busyOccupancy = 0.5;

/** Creates a report that has not started. */
export function createLoadReport(options: LoadReportOptions): {start(): void} {
	const {clock, signal, listeners, report} = options;
	let reported = idleLoad;
	const check = () => {
		if (signal.aborted) {
			return;
		}

		const load = options.load();
		if (isSignificantChange(load, reported)) {
			reported = load;
			report(load);
		}

		clock.setTimer(reportIntervalPerListener * Math.max(1, listeners()), check);
	};

	return {start: check};
}

function isSignificantChange(load: TargetLoad, reported: TargetLoad): boolean {
	const isBusy = Math.max(load.occupancy, reported.occupancy) >= busyOccupancy;
	const isChanged = (
		kind:
			| 'occupancy'
			| 'shedLevel'
			| 'failureShare'
			| 'declined'
			| 'declineLevel'
			| 'heldLevel',
		threshold: number,
	) => Math.abs(load[kind] - reported[kind]) >= threshold;
	return (
		load.rate?.limit !== reported.rate?.limit ||
		isChanged('shedLevel', minReportedLevelChange) ||
		(load.shedLevel === 0 && reported.shedLevel > 0) ||
		isChanged('heldLevel', minReportedLevelChange) ||
		(load.heldLevel === 0 && reported.heldLevel > 0) ||
		isChanged('failureShare', minReportedChange) ||
		isChanged('declined', minReportedDeclinedChange) ||
		(load.declined === 0 && reported.declined > 0) ||
		isChanged('declineLevel', minReportedDeclinedChange) ||
		(isBusy && isChanged('occupancy', minReportedChange))
	);
}
