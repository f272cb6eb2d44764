/**
 * Distinguishes the routes of calls between services from those of callers' new
 * requests.
 *
 * Load pattern: overload deep in a call graph. New requests should be refused
 * before they start, and calls of running requests should continue; if they are
 * confused, work is wasted. Both arrive from the same VM over the same listener
 * and look alike.
 */

/**
 * The routes requested at this node and at the nodes of other services. If
 * calls are refused like new requests, work in progress is wasted; if new
 * requests are admitted like calls, their own work is.
 */
export type InnerRoutes = {
	/** Records a local request; true when its route has to be announced to the other nodes. */
	record(route: string): boolean;
	/** The routes that were requested at this node. */
	requestedRoutes(): string[];
	/** Adds routes that were requested at the nodes of a service. */
	addPeerRoutes(service: string, routes: readonly string[]): void;
	/**
	 * Whether the route is one of calls between services: it is requested at
	 * the nodes of at most half of the services. Callers are everywhere, but a
	 * call comes only from the services whose targets make it. Times and
	 * addresses don't help: calls have deadlines of their own, and callers
	 * share the VM's address.
	 */
	isInner(route: string): boolean;
};

/** The number of requests from which a route counts as requested: operators' checks cause single ones. */
const minRequests = 3;
/** The minimum number of services for a decision: with two, calls of one of them look like requests of half of the callers. */
const minServices = 3;

/** Creates the record of a node whose target belongs to `ownService`. */
export function createInnerRoutes(ownService: string): InnerRoutes {
	const counts = new Map<string, number>();
	const requestingServices = new Map<string, Set<string>>();
	const services = new Set<string>();

	const add = (service: string, route: string) => {
		services.add(service);
		const known = requestingServices.get(route) ?? new Set<string>();
		known.add(service);
		requestingServices.set(route, known);
	};

	return {
		record(route) {
			const count = (counts.get(route) ?? 0) + 1;
			counts.set(route, count);
			if (count !== minRequests) {
				return false;
			}

			add(ownService, route);
			return true;
		},
		requestedRoutes: () =>
			[...counts].flatMap(([route, count]) =>
				count >= minRequests ? [route] : [],
			),
		addPeerRoutes(service, routes) {
			for (const route of routes) {
				add(service, route);
			}
		},
		isInner(route) {
			const known = requestingServices.get(route)?.size ?? 0;
			return (
				services.size >= minServices && known > 0 && known <= services.size / 2
			);
		},
	};
}
