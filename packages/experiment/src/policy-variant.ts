/**
 * The lookup table of what is compared. Both sides take one path; they differ
 * in their policy and in the habits below, which belong to the node and
 * not to the decisions.
 */
import {
	createEgretspokePolicy,
	mechanisms,
	type Mechanism,
	type Policy,
} from '@egretspoke/decisions';
import {naivePolicy, naiveTries} from '@egretspoke/stand-ins';

/** One side of the comparison. */
export type PolicyVariant = {
	name: string;
	policy: Policy;
	/** Attempts with which a client's request enters. */
	attempts: number;
	/** Whether a caller that gives up has its work below cancelled. */
	cancelsDownstream: boolean;
	/** Whether the entry node remembers the keys of requests that may not be repeated. */
	deduplicatesKeys: boolean;
	/** Whether a request that may not be repeated is tried again when its outcome is unknown. */
	retriesUnknown: boolean;
	/** The deadline of a call whose caller gives up at the instant; without end where deadlines aren't passed on. */
	callDeadline(callerDeadline: number): number;
	/** When one attempt is given up: at the call's deadline, or after the operation's timeout for each try. */
	attemptDeadline(deadline: number, now: number, tryTimeout: number): number;
};

/** The prefix that asks for our policy with one mechanism switched off. */
const withoutPrefix = 'without:';

/** Every name that `--policy` takes. */
export const variantNames: string[] = [
	'naive',
	'egretspoke',
	...mechanisms.map((mechanism) => `${withoutPrefix}${mechanism}`),
];

/** Finds a side by its name; undefined when there is none. */
export function findVariant(name: string): PolicyVariant | undefined {
	return table[name]?.();
}

const table: Record<string, () => PolicyVariant> = {
	naive: () => ({
		name: 'naive',
		policy: naivePolicy,
		attempts: naiveTries,
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
