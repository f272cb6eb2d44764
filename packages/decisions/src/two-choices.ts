/**
 * The better of two targets drawn at random.
 *
 * Load pattern: targets differ in speed, and their load changes faster than
 * anybody learns of it. Round robin sends a slow target as much as a fast one,
 * and one notices a service whose 99th percentile is that target's; the least
 * loaded by report draws every entry node at once, and one notices load that
 * swings from target to target. Two random choices do neither (Mitzenmacher
 * 2001), and requests in flight with latency tell more than a report of
 * utilisation does (Prequal, Wydrowski et al., NSDI 2024).
 *
 * A target with a free slot goes before one without, an ordinary one before a
 * slow one, and one that can answer before the deadline before one that is too
 * slow for it; only then the cost decides, which is a target's slowness times its load for each slot. So a
 * slow target gets nothing while the others have room, and what its slots can
 * do once they are full. Slowness within half as much again as ordinary counts
 * as ordinary: an average of sixteen durations varies as much by chance.
 *
 * A draw costs the same however many targets there are: at most `drawLimit`
 * random draws, and a walk through all only when none of these may be chosen.
 */
import type {Random} from '@egretspoke/shared';
import {pressureOf, slownessOf, type TargetView} from './target-view.js';

const normalSlowness = 1.5;
/** Half a slot's load: an idle target is not free, so that slowness counts there too. */
const idleCost = 0.5;
const maxDraws = 6;

/** What matters before the cost: a free slot, even a slow one, but first an ordinary one. */
const tiers = {free: 0, slow: 1, full: 2, tooSlow: 3} as const;

/** How well a target suits a request. */
export type Suitability = {
	/** The place in `tiers`; the lower the better. */
	tier: number;
	/** The lower the better within a tier. */
	cost: number;
};

/** Rates a target for a request with so much time left, and so much typically needed. */
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

/** Whether the first suits better; of two alike it is the first. */
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

/** One draw of a pool, without regard to its cost. */
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
