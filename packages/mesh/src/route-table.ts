/** Finds the route of a request: its host, then the longest prefix of its path. */
import {
	createWeightedRotation,
	type WeightedRotation,
} from './decisions/weighted-rotation.js';
import type {Route, RoutingConfiguration} from './route.js';

/** A route as the table holds it. */
export type TableRoute = Route & {
	/** Spreads the requests over the route's services. */
	rotation: WeightedRotation;
	/**
	 * How many priorities of the configuration are less important than this
	 * route's: those are refused before it when load has to be shed.
	 */
	tiersBelow: number;
};

/** The routes of one configuration. */
export type RouteTable = {
	version: number;
	/** How many priorities the configuration has. */
	tiers: number;
	find(host: string, path: string): TableRoute | undefined;
};

type HostRoutes = Map<string, TableRoute>;

/** Builds the table of a configuration. */
export function createRouteTable(
	configuration: RoutingConfiguration,
): RouteTable {
	const priorities = [
		...new Set(configuration.routes.map(({priority}) => priority)),
	];
	const hosts = new Map<string, HostRoutes>();
	for (const route of configuration.routes) {
		const tiersBelow = priorities.filter(
			(other) => other > route.priority,
		).length;
		const routes = hosts.get(route.host) ?? new Map<string, TableRoute>();
		routes.set(route.prefix, {
			...route,
			tiersBelow,
			rotation: createWeightedRotation(route.services),
		});
		hosts.set(route.host, routes);
	}

	return {
		version: configuration.version,
		tiers: priorities.length,
		find(host, path) {
			const routes = hosts.get(host);
			return routes && findLongestPrefix(routes, path);
		},
	};
}

/** Prefixes end with a slash, so only the slashes of the path can end one. */
function findLongestPrefix(
	routes: HostRoutes,
	path: string,
): TableRoute | undefined {
	let end = path.lastIndexOf('/');
	while (end >= 0) {
		const route = routes.get(path.slice(0, end + 1));
		if (route) {
			return route;
		}

		end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
	}

	return undefined;
}
