/** Determines which share of new work an entry node refuses because its calls are declined. */
import type {CallGraph, CallsAt} from '../decisions/admission/call-graph.js';
import {
	completionChance,
	completionLevel,
	refusalWeight,
	type DecliningService,
} from '../decisions/admission/completion-chance.js';
import {
	orderLoad,
	shareRefused,
	type ShedSlice,
} from '../decisions/admission/shed-order.js';
import type {RecentWork, SharePressure} from './route-pressure.js';

/** Dependencies of the completion pressure. */
export type CompletionPressureOptions = {
	graph: Pick<CallGraph, 'callsTo'>;
	/** The services that decline calls. */
	declining: () => ReadonlyMap<string, DecliningService>;
	/** The recent new work of this node, by kind. */
	recentWork: ReadonlyMap<string, RecentWork>;
};

type DeclinedCalls = {callsAt: CallsAt; slices: Map<string, ShedSlice[]>};

/** Creates the pressure; it has no effect while no service declines calls. */
export function createCompletionPressure({
	graph,
	declining,
	recentWork,
}: CompletionPressureOptions): SharePressure {
	let services: ReadonlyMap<string, DecliningService> = new Map();
	/** By declining service; calculated on demand. */
	const callsByService = new Map<string, DeclinedCalls>();

	const callsOf = (service: string): DeclinedCalls => {
		let calls = callsByService.get(service);
		if (!calls) {
			const callsAt = graph.callsTo(service);
			const demands = [...recentWork].map(
				([kind, {route, service: first, priority, requests}]) => ({
					kind,
					priority,
					requests,
					cost: callsAt(route, first),
				}),
			);
			calls = {callsAt, slices: orderLoad(demands)};
			callsByService.set(service, calls);
		}

		return calls;
	};

	return {
		read() {
			services = declining();
		},
		shareRefused({route, service: first}, kind) {
			if (services.size === 0) {
				return 0;
			}

			// Calls that aren't known yet could only lower the chance.
			const chance = completionChance(services, (service) =>
				callsOf(service).callsAt(route, first),
			);
			const weight = refusalWeight(chance);
			let share = 0;
			for (const [service, declines] of weight > 0 ? services : []) {
				const slices = callsOf(service).slices.get(kind) ?? [];
				share = Math.max(
					share,
					weight * shareRefused(completionLevel(declines), slices),
				);
			}

			return share;
		},
		refresh() {
			callsByService.clear();
		},
	};
}
