/** Runs schedules one after another and summarizes their results. */
import type {CheckerName, Violation} from '@egretspoke/history';
import type {HandlerName} from './handlers.js';
import {runSchedule, type ScheduleResult} from './schedule.js';

/** The JSON object that the command prints. */
export type FaultsSummary = {
	handler: HandlerName;
	schedules: number;
	requests: number;
	attempts: number;
	outcomes: {answered: number; notRun: number; unknown: number; lost: number};
	versionsTaken: number;
	/** Number of injections of each kind. */
	faults: Record<string, number>;
	violations: number;
	violationsByChecker: Partial<Record<CheckerName, number>>;
	/** The first violation; running its seed alone reproduces it. */
	first?: {seed: number; violation: Violation};
};

/** Runs the seeds from the first to the last, both included. */
export async function runSeeds(
	range: {first: number; last: number},
	handler: HandlerName,
): Promise<FaultsSummary> {
	const summary: FaultsSummary = {
		handler,
		schedules: 0,
		requests: 0,
		attempts: 0,
		outcomes: {answered: 0, notRun: 0, unknown: 0, lost: 0},
		versionsTaken: 0,
		faults: {},
		violations: 0,
		violationsByChecker: {},
	};
	for (let seed = range.first; seed <= range.last; seed++) {
		// eslint-disable-next-line no-await-in-loop -- runs are sequential.
		addResult(summary, await runSchedule({seed, handler}));
	}

	return summary;
}

function addResult(summary: FaultsSummary, result: ScheduleResult): void {
	const {attempts, ...outcomes} = result.callers;
	summary.schedules++;
	summary.requests += result.requests;
	summary.attempts += attempts;
	summary.versionsTaken += result.versions;
	for (const [name, count] of Object.entries(outcomes)) {
		summary.outcomes[name as keyof typeof outcomes] += count;
	}

	for (const kind of result.faults) {
		summary.faults[kind] = (summary.faults[kind] ?? 0) + 1;
	}

	for (const {checker} of result.violations) {
		const before = summary.violationsByChecker[checker] ?? 0;
		summary.violationsByChecker[checker] = before + 1;
	}

	const [violation] = result.violations;
	summary.violations += result.violations.length;
	if (violation && !summary.first) {
		summary.first = {seed: result.seed, violation};
	}
}
