/** Looks up the route of a request, by host and longest path prefix, and the workspace of its key. */
import {
	createWeightedRotation,
	type WeightedRotation,
} from '../decisions/routing/weighted-rotation.js';
import {digestKey, type Workspace} from '../quotas/workspace.js';
import type {Route, RoutingConfiguration} from './route.js';

/** A route with its service rotation. */
export type TableRoute = Route & {
	/** Distributes the requests over the route's services by weight. */
	rotation: WeightedRotation;
};

/** The routes of one configuration. */
export type RouteTable = {
	version: number;
	/** Whether requests to routes that aren't public need a key. */
	hasWorkspaces: boolean;
	findRoute(host: string, path: string): TableRoute | undefined;
	/** Returns the workspace of the key, undefined if there is none. */
	findWorkspace(key: string): Workspace | undefined;
	/** Returns the rank of a request, 0 for the most urgent: by the priority of its workspace, then of its route. */
	urgencyOf(route: Route, workspace: Workspace | undefined): number;
};

type HostRoutes = Map<string, TableRoute>;

/** Creates the route table of a configuration. */
export function createRouteTable(
	configuration: RoutingConfiguration,
): RouteTable {
	const {routes, workspaces = []} = configuration;
	const hosts = listByHost(routes);
	const byDigest = new Map<string, Workspace>();
	for (const workspace of workspaces) {
		for (const digest of workspace.keyDigests) {
			byDigest.set(digest, workspace);
		}
	}

	const rankOfRoute = createRanks(routes);
	const rankOfWorkspace = createRanks(workspaces);
	return {
		version: configuration.version,
		hasWorkspaces: configuration.workspaces !== undefined,
		findRoute(host, path) {
			const listed = hosts.get(host);
			return listed && findLongestPrefix(listed, path);
		},
		findWorkspace: (key) => byDigest.get(digestKey(key)),
		urgencyOf: (route, workspace) =>
			(workspace ? rankOfWorkspace.get(workspace.priority)! : 0) *
				rankOfRoute.size +
			rankOfRoute.get(route.priority)!,
	};
}

function listByHost(routes: Route[]): Map<string, HostRoutes> {
	const hosts = new Map<string, HostRoutes>();
	for (const route of routes) {
		const listed = hosts.get(route.host) ?? new Map<string, TableRoute>();
		listed.set(route.prefix, {
			...route,
			rotation: createWeightedRotation(route.services),
		});
		hosts.set(route.host, listed);
	}

	return hosts;
}

/** Maps each priority in use to its rank, from 0. */
function createRanks(items: Array<{priority: number}>): Map<number, number> {
	const priorities = [...new Set(items.map(({priority}) => priority))];
	priorities.sort((left, right) => left - right);
	return new Map(priorities.map((priority, rank) => [priority, rank]));
}

/** Prefixes end with a slash, so only slashes of the path are candidates for the end of a prefix. */
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
