/**
 * Tells the routes of targets' own calls from those of callers' new requests.
 *
 * Load pattern: overload deep in a call graph. New work has to be refused
 * before it begins, and calls of work that has begun have to go on; taken for
 * one another, begun work is wasted and new work is let in to be wasted. Both
 * come from the same VM over the same listener and look alike.
 *
 * But callers are everywhere, and a call comes only from the services whose
 * targets make it. So nodes tell each other which routes they were asked for:
 * a route that the VMs of at most half of the services ask for is one of
 * calls. Times and addresses don't tell them apart: calls have times of their
 * own, and callers share the VM's address.
 */

/** What this node knows of who asks for which route. */
export type InnerRoutes = {
	/** Takes note of a request here; true when the others have to be told of its route. */
	record(route: string): boolean;
	/** The routes that this node was asked for. */
	requestedRoutes(): string[];
	/** The routes that the nodes beside a service were asked for. */
	addPeerRoutes(service: string, routes: readonly string[]): void;
	isInner(route: string): boolean;
};

/** Requests from which a route counts as asked for: single ones come from operators' checks. */
const leastRequests = 3;
/** Services without which nothing can be said: calls of one of two look like requests of half of the callers. */
const leastServices = 3;

/** Creates the knowledge of a node beside that service. */
export function createInnerRoutes(ownService: string): InnerRoutes {
	const counts = new Map<string, number>();
	const askers = new Map<string, Set<string>>();
	const services = new Set<string>();

	const add = (service: string, route: string) => {
		services.add(service);
		const known = askers.get(route) ?? new Set<string>();
		known.add(service);
		askers.set(route, known);
	};

	return {
		record(route) {
			const count = (counts.get(route) ?? 0) + 1;
			counts.set(route, count);
			if (count !== leastRequests) {
				return false;
			}

			add(ownService, route);
			return true;
		},
		requestedRoutes: () =>
			[...counts].flatMap(([route, count]) =>
				count >= leastRequests ? [route] : [],
			),
		addPeerRoutes(service, routes) {
			for (const route of routes) {
				add(service, route);
			}
		},
		isInner(route) {
			const known = askers.get(route)?.size ?? 0;
			return (
				services.size >= leastServices &&
				known > 0 &&
				known <= services.size / 2
			);
		},
	};
}
