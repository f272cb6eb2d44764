/** Determines which share of new work an entry node refuses because its runs wait for other services. */
import type {CallGraph} from '../decisions/admission/call-graph.js';
import {
	orderLoad,
	shareRefused,
	type ShedSlice,
} from '../decisions/admission/shed-order.js';
import type {RecentWork, SharePressure} from './route-pressure.js';

/** Dependencies of the held pressure. */
export type HeldPressureOptions = {
	graph: Pick<CallGraph, 'heldCostsOf'>;
	/** The levels of services for the requests that make calls there; see `bulkhead.ts`. */
	heldLevels: () => ReadonlyMap<string, number>;
	/** The recent new work of this node, by kind. */
	recentWork: ReadonlyMap<string, RecentWork>;
};

/** Creates the pressure; it has no effect while no service reports such a level. */
export function createHeldPressure({
	graph,
	heldLevels,
	recentWork,
}: HeldPressureOptions): SharePressure {
	let levels: ReadonlyMap<string, number> = new Map();
	const slicesByService = new Map<string, Map<string, ShedSlice[]>>();

	const slicesOf = (service: string): Map<string, ShedSlice[]> => {
		let slices = slicesByService.get(service);
		if (!slices) {
			const costAt = graph.heldCostsOf(service);
			slices = orderLoad(
				[...recentWork].map(
					([kind, {route, service: first, priority, requests}]) => ({
						kind,
						priority,
						requests,
						cost: costAt(route, first),
					}),
				),
			);
			slicesByService.set(service, slices);
		}

		return slices;
	};

	return {
		read() {
			levels = heldLevels();
		},
		shareRefused(_, kind) {
			let share = 0;
			for (const [service, level] of levels) {
				const slices = slicesOf(service).get(kind) ?? [];
				share = Math.max(share, shareRefused(level, slices));
			}

			return share;
		},
		refresh() {
			slicesByService.clear();
		},
	};
}
