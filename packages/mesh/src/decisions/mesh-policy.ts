/**
 * The decisions of a node as one replaceable object: over the same transport,
 * the default policy can be compared with a naive one, or with itself without
 * one of its mechanisms.
 */
import type {Random} from '@egretspoke/shared';
import {err, ok, type Result} from 'neverthrow';
import {selectTarget, type Candidate} from './routing/target-selection.js';

/** Mechanisms that can be disabled by name, each with its effect. */
export const mechanisms = {
	offerAgain: 'a declined request is offered to the target again',
	levelOfDeclined: 'the shed level rises while requests end declined',
	completionChance:
		'requests whose calls are declined too often are refused by the repeats that are left for them, and the level for declined requests applies only to them',
	bulkhead:
		'routes that wait for other services get no more than their share of the slots while others wait, and are shed first for their wait',
	lostCapacity:
		'the demand for lost targets counts for the remaining ones of their service at once',
	levelByRoute:
		'the shed level of a service applies only to requests that need it',
	dearFirst:
		'within a priority, requests that cost the full service most are refused first',
	nearEndFirst: 'new requests that make no calls are queued like calls',
	fairShares:
		'workspaces above their fair share of a full service are refused instead of others',
	returnInObjective: 'refused callers retry within their objective',
	shedNew: 'entry nodes refuse new requests by the shed level',
} as const;

export type Mechanism = keyof typeof mechanisms;

/** The decisions of a node. */
export type MeshPolicy = {
	/** Whether a request may be sent to a second target. */
	mayRetry: boolean;
	/** Whether the mechanism is enabled. */
	has(mechanism: Mechanism): boolean;
	/** Selects a target for a request; undefined when there are no candidates. */
	select<T extends Candidate>(
		candidates: T[],
		random: Random,
		bodyBytes: number,
	): T | undefined;
	/** How many requests a target with that many slots is handed at once. */
	limitOf(slots: number): number;
};

/**
 * The fraction of a target's slots that is used. Some targets slow down by a
 * third when nearly all of their slots are taken, which costs more than the
 * free slots.
 */
const usedSlotRatio = 0.95;

/** The default policy, with all mechanisms. */
export const egretspokePolicy: MeshPolicy = {
	has: () => true,
	select: selectTarget,
	limitOf: (slots) => Math.max(1, Math.floor(slots * usedSlotRatio)),
	mayRetry: true,
};

/** A plain forwarder: a random target, no admission control, no retry. */
export const naivePolicy: MeshPolicy = {
	has: () => false,
	select: (candidates, random) =>
		candidates.length === 0
			? undefined
			: candidates[random.below(candidates.length)],
	limitOf: () => Number.MAX_SAFE_INTEGER,
	mayRetry: false,
};

/** Policies by the name that the settings use. */
export const meshPolicies = {
	egretspoke: egretspokePolicy,
	naive: naivePolicy,
} as const satisfies Record<string, MeshPolicy>;

/** Returns the policy without the named mechanisms (comma-separated); the error lists unknown names. */
export function withoutMechanisms(
	policy: MeshPolicy,
	names: string,
): Result<MeshPolicy, string> {
	const listed = names
		.split(',')
		.map((name) => name.trim())
		.filter((name) => name !== '');
	const unknown = listed.filter((name) => !Object.hasOwn(mechanisms, name));
	if (unknown.length > 0) {
		return err(
			`no such mechanism: ${unknown.join(', ')}; there are ${Object.keys(mechanisms).join(', ')}`,
		);
	}

	const without = new Set(listed);
	return ok({
		...policy,
		has: (mechanism) => !without.has(mechanism) && policy.has(mechanism),
	});
}
