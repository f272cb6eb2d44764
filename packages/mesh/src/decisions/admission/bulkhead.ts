/**
 * Limits the slots of a target that routes may take while they wait for other
 * services.
 *
 * Load pattern: a deep service becomes slow. At the middle services, requests
 * that call it hold their slots several times as long as usual. Without a
 * limit they take all slots, and requests that never call the deep service
 * wait or are refused although they need a few milliseconds.
 */

/** The slots of one target by route. */
export type Bulkhead = {
	/** Records that a request was offered, whether it runs or not. */
	recordOffer(route: string): void;
	recordStart(route: string): void;
	/** Records the end of a run; its duration is undefined when it doesn't reflect the route's run time. */
	recordEnd(route: string, duration: number | undefined): void;
	/** Whether the route has its share of the slots, so that others that wait go first. */
	isOverShare(route: string, limit: number): boolean;
	/** The share of the offered load, from 0 to 1, that is due to routes that are held; decays the counts of offers. */
	takeHeldShare(): number;
};

/** The weight of a run in the recent run time: about the last ten. */
const recentWeight = 0.1;
/** The weight of a run in the usual run time after the first `minRuns`: a trouble of some seconds must not become usual. */
const usualWeight = 0.001;
/** The minimum number of runs for a usual run time. */
const minRuns = 50;
/**
 * A route is held while its run time relative to the usual one is this many
 * times that of the least affected route: if all are slower alike, the target
 * itself is slow. Run times vary by less than 2 with the load alone.
 */
const heldRatio = 2;
/** Decay factor of the counts of offers per call of `takeHeldShare`, which makes a window of about a second with `shedPeriod`. */
const offerMemory = 0.9;
/** Offers of a route at which all counts are halved, since nothing else decays them while no request waits. */
const maxOffers = 1000;
/** Decayed offers from which a route counts in the comparison with others. */
const minOffers = 0.5;

type Route = {
	running: number;
	runs: number;
	offers: number;
	recent: number;
	usual: number;
};

/** Creates the record of a target without requests. */
export function createBulkhead(): Bulkhead {
	const routes = new Map<string, Route>();

	const routeOf = (name: string): Route => {
		let route = routes.get(name);
		if (!route) {
			route = {running: 0, runs: 0, offers: 0, recent: 0, usual: 0};
			routes.set(name, route);
		}

		return route;
	};

	const ratioOf = ({recent, usual, runs}: Route) =>
		runs < minRuns || usual === 0 ? 1 : recent / usual;

	const leastRatio = () => {
		let least = Number.POSITIVE_INFINITY;
		for (const route of routes.values()) {
			least =
				route.offers >= minOffers ? Math.min(least, ratioOf(route)) : least;
		}

		return Math.max(1, least);
	};

	const isHeld = (route: Route) => {
		const ratio = ratioOf(route);
		return ratio >= heldRatio && ratio >= heldRatio * leastRatio();
	};

	return {
		recordOffer(name) {
			const route = routeOf(name);
			route.offers++;
			if (route.offers > maxOffers) {
				for (const other of routes.values()) {
					other.offers /= 2;
				}
			}
		},
		recordStart(name) {
			routeOf(name).running++;
		},
		recordEnd(name, duration) {
			const route = routeOf(name);
			route.running--;
			if (duration === undefined) {
				return;
			}

			route.runs++;
			const weight = route.runs <= minRuns ? 1 / route.runs : usualWeight;
			route.usual += weight * (duration - route.usual);
			route.recent +=
				Math.max(recentWeight, 1 / route.runs) * (duration - route.recent);
		},
		isOverShare(name, limit) {
			const route = routes.get(name);
			if (!route || !isHeld(route)) {
				return false;
			}

			let total = 0;
			for (const {offers, usual} of routes.values()) {
				total += offers * usual;
			}

			return route.running * total >= limit * route.offers * route.usual;
		},
		takeHeldShare() {
			let held = 0;
			let total = 0;
			for (const route of routes.values()) {
				const load = route.offers * route.recent;
				total += load;
				held += isHeld(route) ? load : 0;
				route.offers *= offerMemory;
			}

			return total === 0 ? 0 : held / total;
		},
	};
}

/**
 * Divides a shed level of a target into one for the requests that make calls
 * there, which are shed first as far as held routes cause the load, and one for
 * all requests.
 */
export function divideLevel(
	level: number,
	heldShare: number,
): {held: number; all: number} {
	if (heldShare <= 0) {
		return {held: 0, all: level};
	}

	return {
		held: Math.min(1, level / heldShare),
		all:
			heldShare >= 1 ? 0 : Math.max(0, (level - heldShare) / (1 - heldShare)),
	};
}
