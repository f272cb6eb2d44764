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
 * The cost is a target's slowness times its load for each slot. Slowness
 * within half as much again as ordinary counts as ordinary: an average of
 * sixteen durations varies as much by chance.
 *
 * A draw costs the same however many targets there are: at most `drawLimit`
 * random draws, and a walk through all only when none of these may be chosen.
 */
import type {Random} from '@egretspoke/shared';
import {pressureOf, slownessOf, type TargetView} from './target-view.js';

const ordinarySlowness = 1.5;
/** Half a slot's load: an idle target is not free, so that slowness counts there too. */
const idleCost = 0.5;
const drawLimit = 6;

/** A target's cost; the lower the better. */
export function costOf(view: TargetView, weight: number, now: number): number {
	const slowness = slownessOf(view, now);
	const counted = slowness <= ordinarySlowness ? 1 : slowness;
	return (counted * (pressureOf(view, now) + idleCost)) / weight;
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

	for (let draw = 0; draw < drawLimit; draw++) {
		const view = pool[random.below(pool.length)]!;
		if (view === first || !mayChoose(view)) {
			continue;
		}

		if (first) {
			return [first, view];
		}

		first = view;
	}

	return first ? [first] : walk(pool, mayChoose, random);
}

/** One draw of a pool, without regard to its cost. */
export function drawOne(
	pool: readonly TargetView[],
	mayChoose: (view: TargetView) => boolean,
	random: Random,
): TargetView | undefined {
	for (let draw = 0; draw < drawLimit && pool.length > 0; draw++) {
		const view = pool[random.below(pool.length)]!;
		if (mayChoose(view)) {
			return view;
		}
	}

	return walk(pool, mayChoose, random)[0];
}

function walk(
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
