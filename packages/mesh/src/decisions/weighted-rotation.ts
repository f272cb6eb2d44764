/**
 * Spreads the requests of a route over its services by their weights.
 *
 * Drawn at random, a part of a few requests is far off its weight for seconds;
 * an operator who moves a tenth of the traffic sees a fifth move. Here each
 * service gains its weight with every request and the one that has gained
 * most is taken and pays for all (smooth weighted round-robin), so that any
 * run of requests is within one request of its weights.
 */
import type {WeightedService} from '../route.js';

/** Gives the service of the next request. */
export type WeightedRotation = {next(): string};

/** Creates a rotation; services of weight 0 are never taken unless all weigh 0. */
export function createWeightedRotation(
	services: WeightedService[],
): WeightedRotation {
	const [only] = services;
	if (services.length === 1 && only) {
		return {next: () => only.service};
	}

	const weightless = services.every(({weight}) => weight === 0);
	const entries = services
		.map(({service, weight}) => ({
			service,
			weight: weightless ? 1 : weight,
			gained: 0,
		}))
		.filter(({weight}) => weight > 0);
	const total = entries.reduce((sum, {weight}) => sum + weight, 0);
	return {
		next() {
			let best = entries[0]!;
			for (const entry of entries) {
				entry.gained += entry.weight;
				if (entry.gained > best.gained) {
					best = entry;
				}
			}

			best.gained -= total;
			return best.service;
		},
	};
}
