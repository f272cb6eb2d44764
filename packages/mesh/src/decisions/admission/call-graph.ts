/**
 * Estimates what a request of a route costs each service, including all calls
 * that it causes.
 *
 * Load pattern: one service deep in a call graph is full, and the routes that
 * lead to it cost it very different amounts. Which to refuse first depends on
 * the total cost of a request there. Each node announces the calls of its own
 * target (`call-profile.ts`); this module combines the profiles of all nodes.
 */
import {minCalls, type RouteProfile} from './call-profile.js';

/** The call graph, built from the profiles that nodes have announced. */
export type CallGraph = {
	/** Sets the profiles announced by a node of the service; they replace its previous ones. */
	setProfiles(node: string, service: string, profiles: RouteProfile[]): void;
	/** Whether requests of the route at the service may make calls; true until a node is certain that they make none. */
	mayCall(route: string, service: string): boolean;
	/** Whether the calls of the route at the service are known completely, down to routes that make none. */
	isKnown(route: string, service: string): boolean;
	/** Returns the cost function for that service, from the current profiles. */
	costsOf(other: string): CostAt;
	/** Like `costsOf`, but only for runs that make calls there. */
	heldCostsOf(other: string): CostAt;
	/** Returns the function for the calls of one request to that service, below the first service, from the current profiles. */
	callsTo(other: string): CallsAt;
};

/** The milliseconds for which a request of the route at the service occupies slots. */
export type CostAt = (route: string, service: string) => number;

/** The expected calls of a request of the route at the service. */
export type CallsAt = (route: string, service: string) => number;

type Merged = {
	runTime: number;
	calls: Map<string, number>;
	/** At least one node is certain that the route makes no calls. */
	isLeaf: boolean;
};

/** The cost of one run of a route at the service, without its calls. */
type CostOfRun = (profile: Merged, service: string) => number;

/**
 * Calls per request below which a call is ignored in `isKnown`. Operators' checks
 * of rare routes look like calls of what the target runs at the time, and no node
 * runs them often enough to be certain that they make no calls themselves.
 */
const rareCalls = 0.05;
/** Calls within calls that are followed: the profiles of a peer may form a chain that is too long for the stack. */
const maxDepth = 64;

/** Creates an empty graph. */
export function createCallGraph(): CallGraph {
	/** By service, then by node. */
	const announced = new Map<string, Map<string, RouteProfile[]>>();
	/** By service, then by route; deleted when a node of the service announces new profiles. */
	const merged = new Map<string, Map<string, Merged>>();

	const routesAt = (service: string): Map<string, Merged> => {
		const known = merged.get(service);
		if (known) {
			return known;
		}

		const routes = mergeProfiles([...(announced.get(service)?.values() ?? [])]);
		merged.set(service, routes);
		return routes;
	};

	const servicesOf = (route: string): string[] =>
		[...announced.keys()].filter((service) => routesAt(service).has(route));

	/**
	 * The cost of each route at each service is calculated once. A route that
	 * recurs during its own calculation adds nothing, because in a graph in which
	 * routes seem to call each other, the number of paths is too large to follow
	 * them all.
	 */
	const createCosts = (costOfRun: CostOfRun): CostAt => {
		const known = new Map<string, number>();
		const costAt = (route: string, service: string, depth: number): number => {
			const key = `${service} ${route}`;
			const cost = known.get(key);
			if (cost !== undefined || depth > maxDepth) {
				return cost ?? 0;
			}

			known.set(key, 0);
			const calculated = calculate(route, service, costOfRun, (called, next) =>
				costAt(called, next, depth + 1),
			);
			known.set(key, calculated);
			return calculated;
		};

		return (route, service) => costAt(route, service, 0);
	};

	const calculate = (
		route: string,
		service: string,
		costOfRun: CostOfRun,
		costAt: CostAt,
	): number => {
		const profile = routesAt(service).get(route);
		if (!profile) {
			return 0;
		}

		let cost = costOfRun(profile, service);
		for (const [called, count] of profile.calls) {
			const services = servicesOf(called);
			for (const next of services) {
				cost += (count / services.length) * costAt(called, next);
			}
		}

		return cost;
	};

	/** A route that recurs on its own path adds no further condition. */
	const isKnownFrom = (
		route: string,
		service: string,
		visited: Set<string>,
		depth = 0,
	): boolean => {
		const profile = routesAt(service).get(route);
		if (!profile || visited.has(route)) {
			return profile !== undefined;
		}

		if (depth > maxDepth) {
			return false;
		}

		visited.add(route);
		if (sum(profile.calls.values()) < minCalls) {
			return profile.isLeaf;
		}

		return [...profile.calls].every(
			([called, count]) =>
				count < rareCalls ||
				servicesOf(called).some((next) =>
					isKnownFrom(called, next, visited, depth + 1),
				),
		);
	};

	return {
		setProfiles(node, service, profiles) {
			const nodes = announced.get(service) ?? new Map<string, RouteProfile[]>();
			nodes.set(node, profiles);
			announced.set(service, nodes);
			merged.delete(service);
		},
		isKnown: (route, service) => isKnownFrom(route, service, new Set()),
		mayCall(route, service) {
			const profile = routesAt(service).get(route);
			return !profile?.isLeaf || sum(profile.calls.values()) >= minCalls;
		},
		costsOf: (other) =>
			createCosts(({runTime}, service) => (service === other ? runTime : 0)),
		heldCostsOf: (other) =>
			createCosts(({runTime, calls}, service) =>
				service === other && sum(calls.values()) >= minCalls ? runTime : 0,
			),
		callsTo(other) {
			const runsAt = createCosts((_, service) => (service === other ? 1 : 0));
			return (route, service) =>
				runsAt(route, service) - (service === other ? 1 : 0);
		},
	};
}

/** Averages the profiles over the nodes that have each route. */
function mergeProfiles(lists: RouteProfile[][]): Map<string, Merged> {
	const merged = new Map<string, Merged>();
	const counts = new Map<string, number>();
	for (const {route} of lists.flat()) {
		counts.set(route, (counts.get(route) ?? 0) + 1);
	}

	for (const {route, runTime, calls, isLeaf} of lists.flat()) {
		const share = 1 / counts.get(route)!;
		const entry: Merged = merged.get(route) ?? {
			runTime: 0,
			calls: new Map<string, number>(),
			isLeaf: false,
		};
		entry.isLeaf ||= isLeaf;
		entry.runTime += runTime * share;
		for (const {route: called, count} of calls) {
			entry.calls.set(called, (entry.calls.get(called) ?? 0) + count * share);
		}

		merged.set(route, entry);
	}

	return merged;
}

function sum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
