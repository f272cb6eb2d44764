/**
 * Estimates which calls a request of each route causes at the local target, and
 * for how long it occupies a slot.
 *
 * Load pattern: a service runs routes that call an overloaded service deeper
 * down and routes that make no calls. Calls arrive over one connection pool and
 * don't identify their request. Unless the routes are distinguished, a download
 * is refused for a service that it never uses.
 */

/** The effects of a request of a route at the service that runs it. */
export type RouteProfile = {
	route: string;
	/** Milliseconds for which it occupies a slot, including its calls. */
	runTime: number;
	/** Calls per request. */
	calls: Array<{route: string; count: number}>;
	/** It is certain that the route makes no calls; false while too few requests have been recorded. */
	isLeaf: boolean;
};

/** The call profiles of one target. */
export type CallProfile = {
	recordRun(route: string): void;
	recordRunTime(route: string, duration: number): void;
	recordCall(route: string): void;
	/** Updates the estimates once per period; true when the profiles have changed enough to be announced. */
	update(): boolean;
	profiles(): RouteProfile[];
	/** The estimated calls to a route per request of another; 0 while unknown. */
	callsPerRun(route: string, called: string): number;
};

/** Calls per request below which a route counts as making none. */
export const minCalls = 0.3;

/** Milliseconds of a period: long compared with a request, so that few calls fall into a later period than their request. */
export const profilePeriod = 1000;
/** The maximum number of routes that are distinguished; more would make each update slow. */
const maxRoutes = 12;
/**
 * The decay factor of the data per period, which makes about twenty periods
 * count: a change of the graph is followed within a minute.
 */
const memory = 0.95;
/** The decay factor while the errors are biased in one direction: the graph has changed, and the old data is of little use. */
const decayAfterChange = 0.7;
/** The initial variance of the calls per request. */
const initialVariance = 4;
/** The minimum variance of a period, in calls squared. */
const minNoise = 4;
/**
 * The variance added per call, for calls that fall into a later period than
 * their request: under overload they come long after it.
 */
const noisePerCall = 0.25;
/** The weight of the latest period in the average error. */
const noiseWeight = 0.2;
/** The weight of a new duration in its moving average. */
const durationWeight = 0.05;
/** The minimum numbers of requests, and of periods with any, for a route to count as making no calls. */
const minRuns = 20;
const minPeriods = 3;
/**
 * The fraction of the standard deviation that is subtracted from the announced
 * calls, so that only calls that exceed the noise are announced.
 */
const announcedUncertainty = 0.6;
/** The change in calls per request that is announced. */
const announcedChange = 0.25;
/** The relative change of the run time that is announced. */
const announcedTimeChange = 0.3;

type Estimate = {
	/** Calls per request, by position of the route. */
	counts: number[];
	/** Calls in this period. */
	callCount: number;
	/** The moving averages of the error and of its square. */
	meanError: number;
	meanSquare: number;
};

/**
 * Creates the profiles of a target without requests. In each period, the calls
 * to a route are the sum, over the routes that ran, of requests times calls per
 * request; recursive least squares solves this as the mix changes.
 */
export function createCallProfile(): CallProfile {
	const routes: string[] = [];
	const requestCounts: number[] = [];
	const runTimes: number[] = [];
	const totals: Array<{runs: number; periods: number}> = [];
	/** The covariance of the counts, the same for each called route. */
	let covariance: number[][] = [];
	const estimates = new Map<string, Estimate>();
	let announced: RouteProfile[] = [];

	const positionOf = (route: string): number => {
		const known = routes.indexOf(route);
		if (known !== -1 || routes.length >= maxRoutes) {
			return known;
		}

		routes.push(route);
		requestCounts.push(0);
		runTimes.push(0);
		totals.push({runs: 0, periods: 0});
		for (const row of covariance) {
			row.push(0);
		}

		covariance.push(
			routes.map((_, index) =>
				index === routes.length - 1 ? initialVariance : 0,
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
	 * The estimate minus its standard deviation: otherwise a route with few
	 * requests next to one with many calls would be attributed some by chance.
	 */
	const lowerBound = (index: number, count: number) =>
		Math.max(0, count - Math.sqrt(covariance[index]![index]!));

	/** A cost needs a likely value rather than a lower bound, which hides half of the calls for seconds. */
	const likelyCount = (index: number, count: number) =>
		Math.max(
			0,
			count - announcedUncertainty * Math.sqrt(covariance[index]![index]!),
		);

	/** False while few requests have been recorded, because requests that have just started may still make their calls. */
	const isLeaf = (index: number): boolean => {
		let calls = 0;
		for (const {counts} of estimates.values()) {
			calls += lowerBound(index, counts[index] ?? 0);
		}

		const {runs, periods} = totals[index]!;
		return calls < minCalls && runs >= minRuns && periods >= minPeriods;
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

	/**
	 * Attributes the first calls to a route to the route with the most
	 * requests; only later data attributes them to another.
	 */
	const attributeFirstCalls = (estimate: Estimate) => {
		const max = Math.max(...requestCounts);
		const position = requestCounts.indexOf(max);
		estimate.counts = requestCounts.map((_, index) =>
			index === position ? estimate.callCount / max : 0,
		);
	};

	const updateTotals = () => {
		for (const [index, count] of requestCounts.entries()) {
			totals[index]!.runs += count;
			totals[index]!.periods += count > 0 ? 1 : 0;
		}
	};

	const learn = () => {
		if (requestCounts.every((count) => count === 0)) {
			return;
		}

		for (const estimate of estimates.values()) {
			if (estimate.counts.length === 0) {
				attributeFirstCalls(estimate);
			}
		}

		const projection = covariance.map((row) => dot(row, requestCounts));
		const errors = new Map<Estimate, number>();
		let noise = minNoise;
		for (const estimate of estimates.values()) {
			const error = estimate.callCount - dot(estimate.counts, requestCounts);
			errors.set(estimate, error);
			noise = Math.max(
				noise,
				recordError(estimate, error),
				noisePerCall * estimate.callCount,
			);
		}

		const hasChanged = [...errors.keys()].some((one) => isBiased(one));
		const decay = hasChanged ? decayAfterChange : memory;
		const scale = noise + dot(requestCounts, projection);
		for (const [estimate, error] of errors) {
			estimate.counts = estimate.counts.map(
				(count, index) => count + (projection[index]! / scale) * error,
			);
		}

		covariance = covariance.map((row, rowIndex) =>
			row.map((value, columnIndex) => {
				const known =
					value - (projection[rowIndex]! * projection[columnIndex]!) / scale;
				return rowIndex === columnIndex
					? Math.min(initialVariance, known / decay)
					: known;
			}),
		);
	};

	return {
		recordRun(route) {
			const position = positionOf(route);
			if (position !== -1) {
				requestCounts[position]!++;
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
				known.callCount++;
				return;
			}

			estimates.set(route, {
				counts: [],
				callCount: 1,
				meanError: 0,
				meanSquare: 0,
			});
		},
		update() {
			learn();
			updateTotals();
			requestCounts.fill(0);
			for (const estimate of estimates.values()) {
				estimate.callCount = 0;
			}

			const current = profiles();
			const isChanged = isDifferent(current, announced);
			announced = isChanged ? current : announced;
			return isChanged;
		},
		profiles,
		callsPerRun: (route, called) =>
			Math.max(0, estimates.get(called)?.counts[routes.indexOf(route)] ?? 0),
	};
}

/** Records an error and returns its variance. Errors biased in one direction for long are a change of the graph, not noise. */
function recordError(estimate: Estimate, error: number): number {
	estimate.meanError += (error - estimate.meanError) * noiseWeight;
	estimate.meanSquare += (error * error - estimate.meanSquare) * noiseWeight;
	return estimate.meanSquare - estimate.meanError * estimate.meanError;
}

function isBiased({meanError, meanSquare}: Estimate): boolean {
	return meanError * meanError > meanSquare / 2;
}

function isDifferent(left: RouteProfile[], right: RouteProfile[]): boolean {
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
			timeChange > announcedTimeChange * Math.max(1, other.runTime) ||
			profile.calls.some(
				({route, count}) => Math.abs(count - countOf(route)) > announcedChange,
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
