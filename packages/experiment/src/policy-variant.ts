/**
 * Lookup table of the policy variants that the experiment compares. All of them
 * use the same request path; they differ in their policy and in the settings
 * below, which belong to the node and not to the decisions.
 */
import {
	createEgretspokePolicy,
	mechanisms,
	type Mechanism,
	type Policy,
} from '@egretspoke/decisions';
import {naivePolicy, naiveMaxAttempts} from '@egretspoke/stand-ins';

/** A policy and the node settings that belong to it. */
export type PolicyVariant = {
	name: string;
	policy: Policy;
	/** Attempts that a client's request may use. */
	attempts: number;
	/** Whether the downstream work of a caller that gives up is cancelled. */
	cancelsDownstream: boolean;
	/** Whether the entry node tracks the keys of non-idempotent requests. */
	deduplicatesKeys: boolean;
	/** Whether a non-idempotent request is retried when its outcome is unknown. */
	retriesUnknown: boolean;
	/** Returns the deadline of a call for that of its caller; infinite if deadlines are not propagated. */
	callDeadline(callerDeadline: number): number;
	/** Returns the deadline of one attempt: that of the call, or the operation's try timeout from now. */
	attemptDeadline(deadline: number, now: number, tryTimeout: number): number;
};

/** Prefix of the variants of our policy with one mechanism disabled. */
const withoutPrefix = 'without:';

/** Values of `--policy`. */
export const variantNames: string[] = [
	'naive',
	'egretspoke',
	...mechanisms.map((mechanism) => `${withoutPrefix}${mechanism}`),
];

/** Finds a variant by name; undefined if there is none. */
export function findVariant(name: string): PolicyVariant | undefined {
	return table[name]?.();
}

const table: Record<string, () => PolicyVariant> = {
	naive: () => ({
		name: 'naive',
		policy: naivePolicy,
		attempts: naiveMaxAttempts,
		callDeadline: () => Number.POSITIVE_INFINITY,
		attemptDeadline: (_deadline, now, tryTimeout) => now + tryTimeout,
		cancelsDownstream: false,
		deduplicatesKeys: false,
		retriesUnknown: true,
	}),
	egretspoke: () => createEgretspokeVariant('egretspoke'),
	...Object.fromEntries(
		mechanisms.map((mechanism) => {
			const name = `${withoutPrefix}${mechanism}`;
			return [name, () => createEgretspokeVariant(name, mechanism)];
		}),
	),
};

function createEgretspokeVariant(
	name: string,
	without?: Mechanism,
): PolicyVariant {
	return {
		name,
		policy: createEgretspokePolicy(
			new Set(without === undefined ? [] : [without]),
		),
		attempts: 3,
		callDeadline: (callerDeadline) => callerDeadline,
		attemptDeadline: (deadline) => deadline,
		cancelsDownstream: without !== 'cancellation',
		deduplicatesKeys: true,
		retriesUnknown: false,
	};
}
