/** Tells the other nodes when the load of the target beside this one has changed by enough to matter. */
import type {Clock} from '@egretspoke/shared';
import {idleLoad, type TargetLoad} from './exchange.js';

/** What the report needs. */
export type LoadReportOptions = {
	clock: Clock;
	/** Ends the report. */
	signal: AbortSignal;
	load: () => TargetLoad;
	/** How many nodes have to be told. */
	listeners: () => number;
	report: (load: TargetLoad) => void;
};

/** Milliseconds between two reports of a changed load to all listeners, for each of them: 50 hear every 400 ms. */
const reportIntervalPerListener = 8;
/** The change of occupancy that is worth a report. */
const minReportedChange = 0.2;
/** The change of the shed level that is; what it refuses follows it at once. */
const minReportedLevelChange = 0.04;
/** The occupancy below which a target has room in any case; changes there are told by its outcomes only. */
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
		kind: 'occupancy' | 'shedLevel' | 'failureShare',
		threshold: number,
	) => Math.abs(load[kind] - reported[kind]) >= threshold;
	return (
		isChanged('shedLevel', minReportedLevelChange) ||
		(load.shedLevel === 0 && reported.shedLevel > 0) ||
		isChanged('failureShare', minReportedChange) ||
		(isBusy && isChanged('occupancy', minReportedChange))
	);
}
