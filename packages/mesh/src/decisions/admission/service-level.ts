/**
 * Calculates the shed level of a service from the levels of its targets.
 *
 * Load pattern: some targets of a service have named a rate limit, and refuse
 * what exceeds it, while the others have room. A level that counted the limited
 * ones would refuse requests that the others could serve. So the targets
 * without a limit decide, as long as there is one.
 */

/** The load of one target, as it counts for the service. */
export type TargetLevel = {shedLevel: number; isRateLimited: boolean};

/**
 * Returns the level of a service.
 *
 * @param linked - The targets of other nodes.
 * @param own - The target of this node, if it belongs to the service. Its level
 * is known without delay, so it counts in full.
 */
export function levelOfService(
	linked: readonly TargetLevel[],
	own?: TargetLevel,
): number {
	const all = own ? [...linked, own] : linked;
	const unlimited = all.filter(({isRateLimited}) => !isRateLimited);
	const deciding = unlimited.length > 0 ? unlimited : all;
	const remote = deciding
		.filter((target) => target !== own)
		.map(({shedLevel}) => shedLevel);
	const ownLevel = own && deciding.includes(own) ? own.shedLevel : 0;
	return Math.max(ownLevel, mean(remote));
}

function mean(values: number[]): number {
	return values.length === 0
		? 0
		: values.reduce((sum, value) => sum + value, 0) / values.length;
}
