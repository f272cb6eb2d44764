/**
 * Distributes the requests of a route over its services by their weights.
 *
 * With a random choice, the share of a service with few requests is far off its
 * weight for seconds: an operator who moves a tenth of the traffic may see a
 * fifth move. So this is a smooth weighted round-robin: any sequence of
 * requests is within one request of the weights.
 */
import type {WeightedService} from '../../configuration/route.js';

/** Selects the service of the next request. */
export type WeightedRotation = {next(): string};

/**
 * Creates a rotation; services of weight 0 are not selected unless all weights
 * are 0. With every request each service gains its weight, and the service with
 * the highest total is selected and loses the sum of all weights.
 */
export function createWeightedRotation(
	services: WeightedService[],
): WeightedRotation {
	const [only] = services;
	if (services.length === 1 && only) {
		return {next: () => only.service};
	}

	const areAllZero = services.every(({weight}) => weight === 0);
	const entries = services
		.map(({service, weight}) => ({
			service,
			weight: areAllZero ? 1 : weight,
			currentWeight: 0,
		}))
		.filter(({weight}) => weight > 0);
	const total = entries.reduce((sum, {weight}) => sum + weight, 0);
	return {
		next() {
			let best = entries[0]!;
			for (const entry of entries) {
				entry.currentWeight += entry.weight;
				if (entry.currentWeight > best.currentWeight) {
					best = entry;
				}
			}

			best.currentWeight -= total;
			return best.service;
		},
	};
}
