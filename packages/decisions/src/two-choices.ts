/**
 * Chooses the better of two targets drawn at random.
 *
 * Load pattern: targets differ in speed, and their load changes faster than
 * reports arrive. Round robin sends a slow target as much as a fast one, so
 * that it determines the service's 99th percentile; the least loaded target by
 * report attracts all entry nodes at once, so that load swings from target to
 * target. Two random choices avoid both (Mitzenmacher 2001). Requests in
 * flight with latency are a better signal than reported utilisation (Prequal,
 * Wydrowski et al., NSDI 2024).
 *
 * The tier decides first, then the cost: slowness times load per slot. A slow
 * target gets no requests while the others have room, and as much as its slots
 * can run once they are full.
 */
import type {Random} from '@egretspoke/shared';
import {pressureOf, slownessOf, type TargetView} from './target-view.js';

/**
 * Slowness up to half as much again as ordinary counts as ordinary: an average
 * of sixteen durations varies as much by chance.
 */
const normalSlowness = 1.5;
/** Half a slot's load is added to the load, so that slowness also counts for an idle target. */
const idleCost = 0.5;
/**
 * The maximum number of random draws, so that the cost doesn't depend on the
 * number of targets; all targets are scanned only when none of the drawn ones
 * may be chosen.
 */
const maxDraws = 6;

/**
 * The tiers: ordinary targets with a free slot, slow ones with a free slot,
 * those without one, and those too slow for the deadline.
 */
const tiers = {free: 0, slow: 1, full: 2, tooSlow: 3} as const;

/** How suitable a target is for a request. */
export type Suitability = {
	/** The position in `tiers`; lower is better. */
	tier: number;
	/** Lower is better within a tier. */
	cost: number;
};

/** Rates a target for a request with the given remaining time and typical duration. */
export function rateTarget(
	view: TargetView,
	timeLeft: number,
	typical: number,
	now: number,
): Suitability {
	const slowness = slownessOf(view, now);
	const effectiveSlowness = slowness <= normalSlowness ? 1 : slowness;
	const pressure = pressureOf(view, now);
	const cost = effectiveSlowness * (pressure + idleCost);
	if (effectiveSlowness * typical > timeLeft) {
		return {tier: tiers.tooSlow, cost};
	}

	if (pressure >= 1) {
		return {tier: tiers.full, cost};
	}

	return {tier: effectiveSlowness > 1 ? tiers.slow : tiers.free, cost};
}

/** Whether the first is more suitable; of two equal ones the first is. */
export function isBetter(first: Suitability, second: Suitability): boolean {
	return first.tier === second.tier
		? first.cost <= second.cost
		: first.tier < second.tier;
}

/** Draws up to two different targets that may be chosen. */
export function drawTwo(
	pool: readonly TargetView[],
	mayChoose: (view: TargetView) => boolean,
	random: Random,
): [TargetView?, TargetView?] {
	let first: TargetView | undefined;
	if (pool.length === 0) {
		return [];
	}

	for (let draw = 0; draw < maxDraws; draw++) {
		const view = pool[random.below(pool.length)]!;
		if (view === first || !mayChoose(view)) {
			continue;
		}

		if (first) {
			return [first, view];
		}

		first = view;
	}

	return first ? [first] : scan(pool, mayChoose, random);
}

/** Draws one target, without regard to its cost. */
export function drawOne(
	pool: readonly TargetView[],
	mayChoose: (view: TargetView) => boolean,
	random: Random,
): TargetView | undefined {
	for (let draw = 0; draw < maxDraws && pool.length > 0; draw++) {
		const view = pool[random.below(pool.length)]!;
		if (mayChoose(view)) {
			return view;
		}
	}

	return scan(pool, mayChoose, random)[0];
}

function scan(
	pool: readonly TargetView[],
	mayChoose: (view: TargetView) => boolean,
	random: Random,
): [TargetView?] {
	const offset = pool.length === 0 ? 0 : random.below(pool.length);
	for (let index = 0; index < pool.length; index++) {
		const view = pool[(offset + index) % pool.length]!;
		if (mayChoose(view)) {
			return [view];
		}
	}

	return [];
}
