/**
 * Learns which calls a request of each route causes at the target beside a
 * node, and how long the target is busy with it.
 *
 * Load pattern: a service runs routes that call an overloaded service deeper
 * down and routes that call nobody. Its calls come over one connection pool
 * and don't say for which request they are made. Unless the two are told
 * apart, a download is refused for a service that it never uses.
 *
 * In each second the target begins so many requests of each route and makes so
 * many calls to each route. The calls are the sum, over the routes that ran, of
 * requests times calls for each request, which recursive least squares solves
 * as the mix changes from second to second. Calls are first put down to the
 * route that runs most often, and to another only as its requests show it:
 * under overload calls come long after their requests, so what does not add up
 * counts as noise, and only what stands out of it is told. What was learnt long
 * ago is forgotten slowly, so that a change of the graph is followed within a
 * minute.
 */

/** What a request of a route causes at the service where it runs. */
export type RouteProfile = {
	route: string;
	/** Milliseconds that it takes a slot, its calls included. */
	runTime: number;
	/** Calls for each request. */
	calls: Array<{route: string; count: number}>;
	/** It is certain that it makes no calls; a route of which little was seen is not. */
	isLeaf: boolean;
};

/** The profiles at one target. */
export type CallProfile = {
	recordRun(route: string): void;
	recordRunTime(route: string, duration: number): void;
	recordCall(route: string): void;
	/** To be called in each period; true when the profiles have changed enough to be told. */
	update(): boolean;
	profiles(): RouteProfile[];
};

/** Calls for each request below which a route is taken for one that makes none. */
export const minCalls = 0.3;

/** Milliseconds of a period: long against a request, so that few calls fall into another period than their request. */
export const profilePeriod = 1000;
/** Routes that are told apart; more at one target would make each update slow. */
const mostRoutes = 12;
/** The part of what is known that each period leaves; some twenty periods count. */
const memory = 0.95;
/** The same while the calls are off in one direction: the graph has changed, and what was known is of little use. */
const memoryOfChange = 0.7;
/** The variance of the calls of a request before any was seen. */
const firstVariance = 4;
/** The variance that a period has at least, in calls squared. */
const leastNoise = 4;
/** The variance for each call made: calls that fall into another period than their request. */
const noiseOfCall = 0.25;
/** The weight of the latest period in the noise that was seen. */
const noiseWeight = 0.2;
/** The weight of a new duration. */
const durationWeight = 0.05;
/** Requests of a route, and periods with any, from which it may count as one that makes no calls. */
const leastRuns = 20;
const leastPeriods = 3;
/** The part of the uncertainty that is taken off the calls that are told. */
const toldUncertainty = 0.6;
/** A change of calls for each request that is worth telling. */
const toldChange = 0.25;
/** A change of the run time, as a part of it, that is worth telling. */
const toldTimeChange = 0.3;

type Estimate = {
	/** Calls for each request, by position of the route. */
	counts: number[];
	/** Calls in this period. */
	made: number;
	/** What did not add up lately: its mean, and the mean of its square. */
	meanError: number;
	meanSquare: number;
};

/** Creates the profiles of a target that has run nothing. */
export function createCallProfile(): CallProfile {
	const routes: string[] = [];
	const begun: number[] = [];
	const runTimes: number[] = [];
	const seen: Array<{runs: number; periods: number}> = [];
	/** The uncertainty of the counts, the same for each called route. */
	let covariance: number[][] = [];
	const estimates = new Map<string, Estimate>();
	let told: RouteProfile[] = [];

	const positionOf = (route: string): number => {
		const known = routes.indexOf(route);
		if (known !== -1 || routes.length >= mostRoutes) {
			return known;
		}

		routes.push(route);
		begun.push(0);
		runTimes.push(0);
		seen.push({runs: 0, periods: 0});
		for (const row of covariance) {
			row.push(0);
		}

		covariance.push(
			routes.map((_, index) =>
				index === routes.length - 1 ? firstVariance : 0,
			),
		);
		for (const {counts} of estimates.values()) {
			if (counts.length > 0) {
				counts.push(0);
			}
		}

		return routes.length - 1;
	};

	/**
	 * What is seen less the uncertainty of it: a route that runs seldom beside
	 * one that makes many calls would else be taken to make some by chance.
	 */
	const sureCount = (index: number, count: number) =>
		Math.max(0, count - Math.sqrt(covariance[index]![index]!));

	/** For what a request costs a mean is worth more than a bound, which hides half of the calls for seconds. */
	const likelyCount = (index: number, count: number) =>
		Math.max(
			0,
			count - toldUncertainty * Math.sqrt(covariance[index]![index]!),
		);

	/** Not while little was seen: a request that has just begun may still make its calls. */
	const isLeaf = (index: number): boolean => {
		let calls = 0;
		for (const {counts} of estimates.values()) {
			calls += sureCount(index, counts[index] ?? 0);
		}

		const {runs, periods} = seen[index]!;
		return calls < minCalls && runs >= leastRuns && periods >= leastPeriods;
	};

	const profiles = (): RouteProfile[] =>
		routes.map((route, index) => ({
			route,
			runTime: Math.round(runTimes[index]!),
			isLeaf: isLeaf(index),
			calls: [...estimates]
				.map(([called, {counts}]) => ({
					route: called,
					count: Math.round(likelyCount(index, counts[index] ?? 0) * 100) / 100,
				}))
				.filter(({count}) => count > 0),
		}));

	/** Puts the first calls to a route down to the route that ran most. */
	const assume = (estimate: Estimate) => {
		const most = Math.max(...begun);
		const position = begun.indexOf(most);
		estimate.counts = begun.map((_, index) =>
			index === position ? estimate.made / most : 0,
		);
	};

	const noteSeen = () => {
		for (const [index, count] of begun.entries()) {
			seen[index]!.runs += count;
			seen[index]!.periods += count > 0 ? 1 : 0;
		}
	};

	const learn = () => {
		if (begun.every((count) => count === 0)) {
			return;
		}

		for (const estimate of estimates.values()) {
			if (estimate.counts.length === 0) {
				assume(estimate);
			}
		}

		const spread = covariance.map((row) => dot(row, begun));
		const errors = new Map<Estimate, number>();
		let noise = leastNoise;
		for (const estimate of estimates.values()) {
			const error = estimate.made - dot(estimate.counts, begun);
			errors.set(estimate, error);
			noise = Math.max(
				noise,
				noteError(estimate, error),
				noiseOfCall * estimate.made,
			);
		}

		const hasChanged = [...errors.keys()].some((one) => isOff(one));
		const kept = hasChanged ? memoryOfChange : memory;
		const scale = noise + dot(begun, spread);
		for (const [estimate, error] of errors) {
			estimate.counts = estimate.counts.map(
				(count, index) => count + (spread[index]! / scale) * error,
			);
		}

		covariance = covariance.map((row, rowIndex) =>
			row.map((value, columnIndex) => {
				const known =
					value - (spread[rowIndex]! * spread[columnIndex]!) / scale;
				return rowIndex === columnIndex
					? Math.min(firstVariance, known / kept)
					: known;
			}),
		);
	};

	return {
		recordRun(route) {
			const position = positionOf(route);
			if (position !== -1) {
				begun[position]!++;
			}
		},
		recordRunTime(route, duration) {
			const position = positionOf(route);
			if (position !== -1) {
				const known = runTimes[position]!;
				runTimes[position] =
					known === 0 ? duration : known + (duration - known) * durationWeight;
			}
		},
		recordCall(route) {
			const known = estimates.get(route);
			if (known) {
				known.made++;
				return;
			}

			estimates.set(route, {counts: [], made: 1, meanError: 0, meanSquare: 0});
		},
		update() {
			learn();
			noteSeen();
			begun.fill(0);
			for (const estimate of estimates.values()) {
				estimate.made = 0;
			}

			const current = profiles();
			const isNews = differs(current, told);
			told = isNews ? current : told;
			return isNews;
		},
		profiles,
	};
}

/** Takes what did not add up; gives its variance. What is off in one direction for long is a change of the graph and no noise. */
function noteError(estimate: Estimate, error: number): number {
	estimate.meanError += (error - estimate.meanError) * noiseWeight;
	estimate.meanSquare += (error * error - estimate.meanSquare) * noiseWeight;
	return estimate.meanSquare - estimate.meanError * estimate.meanError;
}

function isOff({meanError, meanSquare}: Estimate): boolean {
	return meanError * meanError > meanSquare / 2;
}

function differs(left: RouteProfile[], right: RouteProfile[]): boolean {
	if (left.length !== right.length) {
		return true;
	}

	return left.some((profile, index) => {
		const other = right[index]!;
		const countOf = (route: string) =>
			other.calls.find((call) => call.route === route)?.count ?? 0;
		const timeChange = Math.abs(profile.runTime - other.runTime);
		return (
			profile.route !== other.route ||
			profile.isLeaf !== other.isLeaf ||
			profile.calls.length !== other.calls.length ||
			timeChange > toldTimeChange * Math.max(1, other.runTime) ||
			profile.calls.some(
				({route, count}) => Math.abs(count - countOf(route)) > toldChange,
			)
		);
	});
}

function dot(left: number[], right: number[]): number {
	let total = 0;
	for (const [index, value] of left.entries()) {
		total += value * right[index]!;
	}

	return total;
}
