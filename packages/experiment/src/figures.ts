/** The figures of one run, from what was counted. */
import type {UserRequest} from './call.js';
import {isHeavy, type Scenario} from './scenario.js';
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
		begin: scenario.calm,
		end: scenario.calm + scenario.trigger,
	};
	const before = {begin: scenario.calm / 2, end: scenario.calm};
	const runEnd = overload.end + scenario.aftermath;
	const offered = tally.requests.filter(({sentAt}) => isIn(overload, sentAt));
	const answers = answerInstants(tally.requests);
	const goodputBefore = rateIn(before, answers);
	const arrivals = tally.deepArrivals.filter((at) => isIn(overload, at));
	const within = offered.filter(({caller}) => !isHeavy(caller));
	const heavy = offered.filter(({caller}) => isHeavy(caller));
	return {
		goodput: rounded(rateIn(overload, answers)),
		goodputShare: rounded(rateIn(overload, answers) / limit),
		essentialGoodput: rounded(
			answeredShare(
				offered.filter(({operation}) => operation.requestClass === 'essential'),
			),
		),
		recoverySeconds: findRecovery(answers, goodputBefore, {
			begin: overload.end,
			end: runEnd,
		}),
		amplification: rounded(arrivals.length / offered.length),
		notRunThatRan: tally.notRunThatRan(),
		ranTwice: tally.ranTwice(),
		wastedWork: rounded(wastedShare(offered)),
		offered: rounded((offered.length * 1000) / scenario.trigger),
		goodputBefore: rounded(goodputBefore),
		goodputAtEnd: rounded(
			rateIn({begin: runEnd - 10_000, end: runEnd}, answers),
		),
		answeredWithinShare: rounded(answeredShare(within)),
		answeredOverShare:
			heavy.length === 0 ? undefined : rounded(answeredShare(heavy)),
		...deepTimes(tally, scenario, overload),
	};
}

/** Goodput in each half second of the run, in requests a second. */
export function goodputOverTime(
	tally: Tally,
	scenario: Scenario,
): Array<{second: number; goodput: number}> {
	const answers = answerInstants(tally.requests);
	const runEnd = scenario.calm + scenario.trigger + scenario.aftermath;
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
const recoveryHold = 5000;
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
	const enough = goodputBefore * recoveredShare;
	for (
		let end = span.begin + recoveryStep;
		end + recoveryHold <= span.end;
		end += recoveryStep
	) {
		const begin = Math.max(span.begin, end - recoveryWindow);
		if (
			rateIn({begin, end}, answers) >= enough &&
			rateIn({begin: end, end: end + recoveryHold}, answers) >= enough
		) {
			return rounded((end - span.begin) / 1000);
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
function rateIn({begin, end}: Span, sorted: number[]): number {
	const count = firstNotBefore(sorted, end) - firstNotBefore(sorted, begin);
	return (count * 1000) / (end - begin);
}

function firstNotBefore(sorted: number[], instant: number): number {
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

function isIn({begin, end}: Span, instant: number): boolean {
	return instant >= begin && instant < end;
}

function wasAnswered({answeredAt, deadline}: UserRequest): boolean {
	return answeredAt !== undefined && answeredAt <= deadline;
}

function answeredShare(requests: UserRequest[]): number {
	return requests.length === 0
		? 1
		: requests.filter((request) => wasAnswered(request)).length /
				requests.length;
}

function wastedShare(requests: UserRequest[]): number {
	let all = 0;
	let wasted = 0;
	for (const request of requests) {
		all += request.work;
		wasted += wasAnswered(request) ? 0 : request.work;
	}

	return all === 0 ? 0 : wasted / all;
}

function deepTimes(tally: Tally, scenario: Scenario, overload: Span) {
	const calls = tally.deepCalls.filter(({endedAt}) => isIn(overload, endedAt));
	const healthy = calls.filter(({index}) => scenario.slowdown(index) === 1);
	const deepTime99 = percentile99(calls.map(({duration}) => duration));
	const deepTime99Healthy = percentile99(healthy.map(({duration}) => duration));
	return {
		deepTime99,
		deepTime99Healthy,
		deepTimeRatio:
			deepTime99 === undefined || deepTime99Healthy === undefined
				? undefined
				: rounded(deepTime99 / deepTime99Healthy),
	};
}

function percentile99(values: number[]): number | undefined {
	const sorted = values.toSorted((left, right) => left - right);
	const value = sorted[Math.ceil(sorted.length * 0.99) - 1];
	return value === undefined ? undefined : rounded(value);
}

function rounded(value: number): number {
	return Math.round(value * 10_000) / 10_000;
}
