/**
 * The admission levels of downstream services, by the operation that calls
 * them.
 *
 * Load pattern: a deep service is saturated. Without these levels the upper
 * layers run their part of every request, call downstream and are refused
 * there, so their work is wasted. Answers carry the level of the node that
 * gave them. The node assigns it to the operation that its own target was
 * running for that chain, and its admission refuses requests of the operation
 * by this level before they run (DAGOR's collaborative admission, and TopFull,
 * SIGCOMM 2024, which sheds by operation at the entry). The table also passes
 * the priority number down the chain.
 *
 * Wrong and outdated levels are handled in `level-samples.ts`.
 */
import {maxLevel} from './admission-level.js';
import {findOrAdd} from './bounded-table.js';
import {
	addLevel,
	createLevelSamples,
	currentLevel,
	type LevelSamples,
} from './level-samples.js';

/** The maximum number of services called by one operation; further ones replace the oldest. */
const serviceLimit = 16;
const operationLimit = 256;

type RunningChain = {operation: string; priority: number; count: number};

/** The table of one node, shared by its admission and its routing. */
export type DownstreamLevels = {
	chains: Map<string, RunningChain>;
	byOperation: Map<string, Map<string, LevelSamples>>;
};

/** Creates an empty table. */
export function createDownstreamLevels(): DownstreamLevels {
	return {chains: new Map(), byOperation: new Map()};
}

/** Records that a request of the chain starts at the node's own target. */
export function beginChain(
	state: DownstreamLevels,
	chain: string,
	operation: string,
	priority: number,
): void {
	const known = state.chains.get(chain);
	if (known) {
		known.count++;
	} else {
		state.chains.set(chain, {operation, priority, count: 1});
	}
}

/** Records that the request has ended. */
export function endChain(state: DownstreamLevels, chain: string): void {
	const known = state.chains.get(chain);
	if (known && --known.count === 0) {
		state.chains.delete(chain);
	}
}

/** The priority number of a chain that is running here. */
export function chainPriority(
	state: DownstreamLevels,
	chain: string,
): number | undefined {
	return state.chains.get(chain)?.priority;
}

/** Records the level of a service that the chain's request called. */
export function recordDownstreamLevel(
	state: DownstreamLevels,
	chain: string,
	observed: {service: string; level: number; now: number},
): void {
	const operation = state.chains.get(chain)?.operation;
	if (operation === undefined) {
		return;
	}

	const services = findOrAdd(
		state.byOperation,
		operation,
		operationLimit,
		() => new Map<string, LevelSamples>(),
	);
	const samples = findOrAdd(services, observed.service, serviceLimit, () =>
		createLevelSamples(),
	);
	addLevel(samples, observed.level, observed.now);
}

/** The level up to which downstream services admit requests of the operation. */
export function downstreamLevel(
	state: DownstreamLevels,
	operation: string,
	now: number,
): number {
	let lowest = maxLevel;
	const services = state.byOperation.get(operation);
	if (services) {
		for (const samples of services.values()) {
			lowest = Math.min(lowest, currentLevel(samples, now));
		}
	}

	return lowest;
}
