/** Reports the load of the local target to the other nodes when it has changed significantly. */
import type {Clock} from '@egretspoke/shared';
import type {TargetLoad} from '../links/exchange.js';
import {tickInterval, type Ticker} from '../timing/ticker.js';

/** Dependencies of the report. */
export type LoadReportOptions = {
	clock: Clock;
	/** Stops the report. */
	signal: AbortSignal;
	ticker: Ticker;
	load: () => TargetLoad;
	receivers: () => ReadonlySet<LoadReceiver>;
};

/** A node that receives reports. */
export type LoadReceiver = {
	/** The load that was last sent to it, by any message: outcomes and states carry it as well. */
	load: TargetLoad;
	report(load: TargetLoad): void;
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

/** The reports of a node's load. */
export type LoadReport = {
	start(): void;
	/** Checks the load if a check is due; called for each request of another node. */
	recordRequest(): void;
};

/** Creates a report that has not started. */
export function createLoadReport(options: LoadReportOptions): LoadReport {
	const {clock, signal, ticker} = options;
	/** From when on a request or a tick causes the next check; infinite if a timer does. */
	let dueAt = Number.POSITIVE_INFINITY;

	const check = () => {
		if (signal.aborted) {
			return;
		}

		const load = options.load();
		const receivers = options.receivers();
		for (const receiver of receivers) {
			if (isSignificantChange(load, receiver.load)) {
				receiver.load = load;
				receiver.report(load);
			}
		}

		const interval = reportIntervalPerListener * Math.max(1, receivers.size);
		if (interval < tickInterval && !isResting(load)) {
			dueAt = Number.POSITIVE_INFINITY;
			clock.setTimer(interval, check);
		} else {
			// Rounded to whole ticks, at which the node wakes up in any case.
			const rounding = interval < tickInterval ? 0 : tickInterval / 2;
			dueAt = clock.now() + interval - rounding;
		}
	};

	const checkIfDue = () => {
		if (clock.now() >= dueAt) {
			check();
		}
	};

	return {
		start() {
			ticker.schedule(tickInterval, checkIfDue);
			check();
		},
		recordRequest: checkIfDue,
	};
}

/** Whether a load with free slots changes significantly only after further requests; it doesn't by itself. */
function isResting({
	occupancy,
	shedLevel,
	failureShare,
	declined,
	declineLevel,
	heldLevel,
}: TargetLoad): boolean {
	return (
		occupancy < busyOccupancy &&
		shedLevel === 0 &&
		failureShare < minReportedChange &&
		declined === 0 &&
		declineLevel === 0 &&
		heldLevel === 0
	);
}

/** Whether a load differs so much from the last reported one that entry nodes should know. */
function isSignificantChange(load: TargetLoad, reported: TargetLoad): boolean {
	const isBusy = Math.max(load.occupancy, reported.occupancy) >= busyOccupancy;
	return (
		load.rate?.limit !== reported.rate?.limit ||
		Math.abs(load.shedLevel - reported.shedLevel) >= minReportedLevelChange ||
		(load.shedLevel === 0 && reported.shedLevel > 0) ||
		Math.abs(load.heldLevel - reported.heldLevel) >= minReportedLevelChange ||
		(load.heldLevel === 0 && reported.heldLevel > 0) ||
		Math.abs(load.failureShare - reported.failureShare) >= minReportedChange ||
		Math.abs(load.declined - reported.declined) >= minReportedDeclinedChange ||
		(load.declined === 0 && reported.declined > 0) ||
		Math.abs(load.declineLevel - reported.declineLevel) >=
			minReportedDeclinedChange ||
		(isBusy &&
			Math.abs(load.occupancy - reported.occupancy) >= minReportedChange)
	);
}
