/** Computes the figures of one run from its tally. */
import type {UserRequest} from './call.js';
import {isHeavyCaller, type Scenario} from './scenario.js';
import type {Tally} from './tally.js';

/** The printed figures of one policy variant. */
export type Figures = {
	/** Requests answered within their deadline per second, during the overload. */
	goodput: number;
	/** Goodput as a fraction of the limit. */
	goodputShare: number;
	/** Fraction of the essential requests offered during the overload that were answered in time. */
	essentialGoodput: number;
	/** Seconds from the end of the trigger until goodput has recovered; undefined if it never does. */
	recoverySeconds: number | undefined;
	/** Calls arriving at the deepest service per offered request, during the overload. */
	amplification: number;
	/** Attempts of the whole run that were reported as not run but ran. */
	notRunThatRan: number;
	/** Non-idempotent requests of the whole run that took effect more than once. */
	ranTwice: number;
	/** Fraction of the targets' work on requests offered during the overload that was spent on failed ones. */
	wastedWork: number;
	/** Requests offered per second during the overload, including repeated ones of one user. */
	offered: number;
	/** Goodput before the trigger. */
	goodputBefore: number;
	/** Goodput in the last ten seconds of the run. */
	goodputAtEnd: number;
	/** Fractions of answered requests of callers within their fair share, and of heavy callers. */
	answeredWithinShare: number;
	answeredOverShare: number | undefined;
	/** 99th percentile of the duration of calls to the deepest service in milliseconds, for all and for healthy targets. */
	deepTime99: number | undefined;
	deepTime99Healthy: number | undefined;
	/** `deepTime99` divided by `deepTime99Healthy`. */
	deepTimeRatio: number | undefined;
};

type Span = {begin: number; end: number};

/** Computes the figures. */
export function computeFigures(
	tally: Tally,
	scenario: Scenario,
	limit: number,
): Figures {
	const overload = {
		begin: scenario.baselineDuration,
		end: scenario.baselineDuration + scenario.triggerDuration,
	};
	const before = {
		begin: scenario.baselineDuration / 2,
		end: scenario.baselineDuration,
	};
	const runEnd = overload.end + scenario.recoveryDuration;
	const offered = tally.requests.filter(({sentAt}) =>
		isWithin(overload, sentAt),
	);
	const answers = answerInstants(tally.requests);
	const goodputBefore = rateWithin(before, answers);
	const arrivals = tally.deepArrivals.filter((at) => isWithin(overload, at));
	const within = offered.filter(({caller}) => !isHeavyCaller(caller));
	const heavy = offered.filter(({caller}) => isHeavyCaller(caller));
	return {
		goodput: round(rateWithin(overload, answers)),
		goodputShare: round(rateWithin(overload, answers) / limit),
		essentialGoodput: round(
			answeredShare(
				offered.filter(({operation}) => operation.requestClass === 'essential'),
			),
		),
		recoverySeconds: findRecovery(answers, goodputBefore, {
			begin: overload.end,
			end: runEnd,
		}),
		amplification: round(arrivals.length / offered.length),
		notRunThatRan: tally.notRunThatRan(),
		ranTwice: tally.ranTwice(),
		wastedWork: round(wastedShare(offered)),
		offered: round((offered.length * 1000) / scenario.triggerDuration),
		goodputBefore: round(goodputBefore),
		goodputAtEnd: round(
			rateWithin({begin: runEnd - 10_000, end: runEnd}, answers),
		),
		answeredWithinShare: round(answeredShare(within)),
		answeredOverShare:
			heavy.length === 0 ? undefined : round(answeredShare(heavy)),
		...deepTimes(tally, scenario, overload),
	};
}

/** Goodput in each half second of the run, in requests per second. */
export function goodputOverTime(
	tally: Tally,
	scenario: Scenario,
): Array<{second: number; goodput: number}> {
	const answers = answerInstants(tally.requests);
	const runEnd =
		scenario.baselineDuration +
		scenario.triggerDuration +
		scenario.recoveryDuration;
	const bin = 500;
	const counts = Array.from({length: runEnd / bin}, () => 0);
	for (const at of answers) {
		counts[Math.floor(at / bin)]! += 1;
	}

	return counts.map((count, index) => ({
		second: (index * bin) / 1000,
		goodput: (count * 1000) / bin,
	}));
}

/** Length and step of the sliding window over goodput, in milliseconds. */
const recoveryWindow = 1000;
const recoveryStep = 100;
/** Milliseconds for which goodput must stay recovered. */
const recoveryHoldDuration = 5000;
/** Fraction of the goodput before the trigger that counts as recovered. */
const recoveredShare = 0.95;

/**
 * Finds the first instant at which goodput has recovered, over the last second
 * or since the end of the trigger, and after which its mean over five seconds
 * stays recovered: a short peak during a collapse is no recovery. Returns
 * seconds since the end of the trigger.
 */
export function findRecovery(
	answers: number[],
	goodputBefore: number,
	span: Span,
): number | undefined {
	const threshold = goodputBefore * recoveredShare;
	for (
		let end = span.begin + recoveryStep;
		end + recoveryHoldDuration <= span.end;
		end += recoveryStep
	) {
		const begin = Math.max(span.begin, end - recoveryWindow);
		if (
			rateWithin({begin, end}, answers) >= threshold &&
			rateWithin({begin: end, end: end + recoveryHoldDuration}, answers) >=
				threshold
		) {
			return round((end - span.begin) / 1000);
		}
	}

	return undefined;
}

function answerInstants(requests: UserRequest[]): number[] {
	return requests
		.filter(
			({answeredAt, deadline}) =>
				answeredAt !== undefined && answeredAt <= deadline,
		)
		.map(({answeredAt}) => answeredAt!)
		.toSorted((left, right) => left - right);
}

/** Answers per second within a span; expects sorted instants. */
function rateWithin({begin, end}: Span, sorted: number[]): number {
	const count = lowerBound(sorted, end) - lowerBound(sorted, begin);
	return (count * 1000) / (end - begin);
}

function lowerBound(sorted: number[], instant: number): number {
	let low = 0;
	let high = sorted.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (sorted[middle]! < instant) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

function isWithin({begin, end}: Span, instant: number): boolean {
	return instant >= begin && instant < end;
}

function isAnsweredInTime({answeredAt, deadline}: UserRequest): boolean {
	return answeredAt !== undefined && answeredAt <= deadline;
}

function answeredShare(requests: UserRequest[]): number {
	return requests.length === 0
		? 1
		: requests.filter((request) => isAnsweredInTime(request)).length /
				requests.length;
}

function wastedShare(requests: UserRequest[]): number {
	let all = 0;
	let wasted = 0;
	for (const request of requests) {
		all += request.work;
		wasted += isAnsweredInTime(request) ? 0 : request.work;
	}

	return all === 0 ? 0 : wasted / all;
}

function deepTimes(tally: Tally, scenario: Scenario, overload: Span) {
	const calls = tally.deepCalls.filter(({endedAt}) =>
		isWithin(overload, endedAt),
	);
	const healthy = calls.filter(({index}) => scenario.slowdown(index) === 1);
	const deepTime99 = percentile99(calls.map(({duration}) => duration));
	const deepTime99Healthy = percentile99(healthy.map(({duration}) => duration));
	return {
		deepTime99,
		deepTime99Healthy,
		deepTimeRatio:
			deepTime99 === undefined || deepTime99Healthy === undefined
				? undefined
				: round(deepTime99 / deepTime99Healthy),
	};
}

function percentile99(values: number[]): number | undefined {
	const sorted = values.toSorted((left, right) => left - right);
	const value = sorted[Math.ceil(sorted.length * 0.99) - 1];
	return value === undefined ? undefined : round(value);
}

function round(value: number): number {
	return Math.round(value * 10_000) / 10_000;
}
