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
import {naivePolicy, naiveMaxAttempts} from '@egretspoke/stand-ins';

/** One side of the comparison. */
export type Contender = {
	name: string;
	policy: Policy;
	/** Attempts with which a client's request enters. */
	attempts: number;
	/** Whether a caller that gives up has its work below cancelled. */
	cancels: boolean;
	/** Whether the entry node remembers the keys of requests that may not be repeated. */
	remembersKeys: boolean;
	/** Whether a request that may not be repeated is tried again when its outcome is unknown. */
	repeatsUnknown: boolean;
	/** The deadline of a call whose caller gives up at the instant; without end where deadlines aren't passed on. */
	callDeadline(callerDeadline: number): number;
	/** When one attempt is given up: at the call's deadline, or after the operation's timeout for each try. */
	attemptDeadline(deadline: number, now: number, tryTimeout: number): number;
};

/** The prefix that asks for our policy with one mechanism switched off. */
const withoutPrefix = 'without:';

/** Every name that `--policy` takes. */
export const contenderNames: string[] = [
	'naive',
	'egretspoke',
	...mechanisms.map((mechanism) => `${withoutPrefix}${mechanism}`),
];

/** Finds a side by its name; undefined when there is none. */
export function findContender(name: string): Contender | undefined {
	return table[name]?.();
}

const table: Record<string, () => Contender> = {
	naive: () => ({
		name: 'naive',
		policy: naivePolicy,
		attempts: naiveMaxAttempts,
		callDeadline: () => Number.POSITIVE_INFINITY,
		attemptDeadline: (_deadline, now, tryTimeout) => now + tryTimeout,
		cancels: false,
		remembersKeys: false,
		repeatsUnknown: true,
	}),
	egretspoke: () => createEgretspoke('egretspoke'),
	...Object.fromEntries(
		mechanisms.map((mechanism) => {
			const name = `${withoutPrefix}${mechanism}`;
			return [name, () => createEgretspoke(name, mechanism)];
		}),
	),
};

function createEgretspoke(name: string, without?: Mechanism): Contender {
	return {
		name,
		policy: createEgretspokePolicy(
			new Set(without === undefined ? [] : [without]),
		),
		attempts: 3,
		callDeadline: (callerDeadline) => callerDeadline,
		attemptDeadline: (deadline) => deadline,
		cancels: without !== 'cancellation',
		remembersKeys: true,
		repeatsUnknown: false,
	};
}
