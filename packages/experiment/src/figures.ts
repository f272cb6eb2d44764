/** The figures of one run, from what was counted. */
import type {UserRequest} from './call.js';
import {isHeavyCaller, type Scenario} from './scenario.js';
import type {Tally} from './tally.js';

/** What the command prints for each side. */
export type Figures = {
	/** Whole requests answered within their deadline, a second, during the overload. */
	goodput: number;
	/** The same, as a share of the limit. */
	goodputShare: number;
	/** Share of the essential requests offered during the overload that were answered in time. */
	essentialGoodput: number;
	/** Seconds from the trigger's end until goodput is back; undefined if it never is. */
	recoverySeconds: number | undefined;
	/** Calls arriving at the deepest service for each request offered, during the overload. */
	amplification: number;
	/** Attempts of the whole run that were said not to have run and had. */
	notRunThatRan: number;
	/** Requests of the whole run that took effect twice and must not. */
	ranTwice: number;
	/** Share of the targets' work, for requests offered during the overload, spent on those that failed. */
	wastedWork: number;
	/** Requests offered a second during the overload, repeated ones of one user included. */
	offered: number;
	/** Goodput before the trigger. */
	goodputBefore: number;
	/** Goodput of the last ten seconds of the run. */
	goodputAtEnd: number;
	/** Share of requests answered, of the callers within their share and of the heavy ones. */
	answeredWithinShare: number;
	answeredOverShare: number | undefined;
	/** 99th percentile of the calls to the deepest service in milliseconds, of all and of the healthy targets. */
	deepTime99: number | undefined;
	deepTime99Healthy: number | undefined;
	/** The first of the two over the second. */
	deepTimeRatio: number | undefined;
};

type Span = {begin: number; end: number};

/** Works the figures out. */
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

/** Goodput in each half second of the run, in requests a second. */
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

/** Milliseconds over which goodput is looked at, and by which the look moves on. */
const recoveryWindow = 1000;
const recoveryStep = 100;
/** Milliseconds for which it must stay back. */
const recoveryHoldDuration = 5000;
/** The share of the goodput before that counts as being back. */
const recoveredShare = 0.95;

/**
 * The first instant at which goodput is back, over the last second or since
 * the trigger's end, and from which it stays back on average for five seconds
 * more: a moment of luck in a collapse is no recovery.
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

/** Answers a second within a span; the instants are sorted. */
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
