/**
 * What a request of a route costs each service, its calls and theirs included.
 *
 * Load pattern: one service deep in a call graph is full, and routes that all
 * lead to it cost it very different amounts. Which to refuse first can only be
 * told by what a whole request takes there. Each node learns what its own
 * target does (`call-profile.ts`) and tells the others; here the parts are put
 * together.
 */
import {minCalls, type RouteProfile} from './call-profile.js';

/** The call graph as far as nodes have told of it. */
export type CallGraph = {
	/** Takes what a node beside the service has learnt. */
	setProfiles(node: string, service: string, profiles: RouteProfile[]): void;
	/** Whether requests of the route at the service may make calls; so it is taken until the opposite is certain. */
	mayCall(route: string, service: string): boolean;
	/** Whether it is known which calls requests of the route at the service cause, down to those that make none. */
	isKnown(route: string, service: string): boolean;
	/** What requests take of the slots of that service, as known now. */
	costsOf(other: string): CostAt;
};

/** Milliseconds of slots that a request of the route at the service takes. */
export type CostAt = (route: string, service: string) => number;

type Merged = {
	runTime: number;
	calls: Map<string, number>;
	/** Some node is certain that it makes no calls. */
	isLeaf: boolean;
};

/** Creates a graph of which nothing is known. */
export function createCallGraph(): CallGraph {
	/** By service, then by node. */
	const told = new Map<string, Map<string, RouteProfile[]>>();
	/** By service, then by route; forgotten when a node tells anew. */
	const merged = new Map<string, Map<string, Merged>>();

	const routesAt = (service: string): Map<string, Merged> => {
		const known = merged.get(service);
		if (known) {
			return known;
		}

		const routes = mergeProfiles([...(told.get(service)?.values() ?? [])]);
		merged.set(service, routes);
		return routes;
	};

	const servicesOf = (route: string): string[] =>
		[...told.keys()].filter((service) => routesAt(service).has(route));

	/**
	 * Each route at each service is worked out once, and one that is met while it
	 * is worked out costs nothing more: a graph in which routes seem to call each
	 * other would else be walked once for each of its paths, of which there are
	 * more than a node has time for.
	 */
	const createCosts = (other: string): CostAt => {
		const known = new Map<string, number>();
		const costAt: CostAt = (route, service) => {
			const key = `${service} ${route}`;
			const cost = known.get(key);
			if (cost !== undefined) {
				return cost;
			}

			known.set(key, 0);
			const worked = workOut(route, service, other, costAt);
			known.set(key, worked);
			return worked;
		};

		return costAt;
	};

	const workOut = (
		route: string,
		service: string,
		other: string,
		costAt: CostAt,
	): number => {
		const profile = routesAt(service).get(route);
		if (!profile) {
			return 0;
		}

		let cost = service === other ? profile.runTime : 0;
		for (const [called, count] of profile.calls) {
			const services = servicesOf(called);
			for (const next of services) {
				cost += (count / services.length) * costAt(called, next);
			}
		}

		return cost;
	};

	/** A route that is met again on its own way down says nothing more. */
	const isKnownFrom = (
		route: string,
		service: string,
		met: Set<string>,
	): boolean => {
		const profile = routesAt(service).get(route);
		if (!profile || met.has(route)) {
			return profile !== undefined;
		}

		met.add(route);
		if (sum(profile.calls.values()) < minCalls) {
			return profile.isLeaf;
		}

		return [...profile.calls.keys()].every((called) =>
			servicesOf(called).some((next) => isKnownFrom(called, next, met)),
		);
	};

	return {
		setProfiles(node, service, profiles) {
			const nodes = told.get(service) ?? new Map<string, RouteProfile[]>();
			nodes.set(node, profiles);
			told.set(service, nodes);
			merged.delete(service);
		},
		isKnown: (route, service) => isKnownFrom(route, service, new Set()),
		mayCall(route, service) {
			const profile = routesAt(service).get(route);
			return !profile?.isLeaf || sum(profile.calls.values()) >= minCalls;
		},
		costsOf: createCosts,
	};
}

/** The mean over the nodes that know a route. */
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
