/**
 * The decisions of a node as one exchangeable thing, so that ours can be
 * measured beside a naive one under the same transport.
 */
import type {Random} from '@egretspoke/shared';
import {shedShare} from './shed-level.js';
import {selectTarget, type Candidate} from './target-selection.js';

/** What a node decides by. */
export type MeshPolicy = {
	/** Whether a request may be sent to a second target at all. */
	mayRetry: boolean;
	select<T extends Candidate>(
		candidates: T[],
		random: Random,
		bodyBytes: number,
	): T | undefined;
	/** How many requests a target with so many slots is handed at once. */
	limitOf(slots: number): number;
	/** The share of new requests that is refused at a level. */
	shedShare(level: number, tiersBelow: number): number;
};

/**
 * The part of a target's slots that is used. Some targets slow down by a third
 * when nearly all of their slots are taken, which costs more than the slots
 * left free.
 */
const usedPart = 0.95;

/** Ours. */
export const egretspokePolicy: MeshPolicy = {
	select: selectTarget,
	limitOf: (slots) => Math.max(1, Math.floor(slots * usedPart)),
	shedShare,
	mayRetry: true,
};

/** A plain forwarder: any ready target, no admission, no second try. */
export const naivePolicy: MeshPolicy = {
	select: (candidates, random) =>
		candidates.length === 0
			? undefined
			: candidates[random.below(candidates.length)],
	limitOf: () => Number.MAX_SAFE_INTEGER,
	shedShare: () => 0,
	mayRetry: false,
};

/** By name, as settings choose them. */
export const meshPolicies = {
	egretspoke: egretspokePolicy,
	naive: naivePolicy,
} as const satisfies Record<string, MeshPolicy>;
