/**
 * Stores the recent decisions of a node by request id, for `egretspoke explain`.
 *
 * There are two ring buffers of fixed size, so memory does not grow with load.
 * Ordinary decisions of a busy node fill their buffer within seconds; refusals
 * and retries, which operators look up, have a buffer of their own and stay
 * longer.
 */
import type {Explanation} from '@egretspoke/protocol';
import {events, type DecisionEventName} from './event-catalogue.js';
import type {EventDefinition} from './event-definition.js';

/** One decision in the history. */
export type RecordedDecision = {
	request: string;
	name: DecisionEventName;
	/** Milliseconds since 1970. */
	at: number;
	reason: string;
	details?: Readonly<Record<string, string | number>>;
};

/** How many decisions of each kind are stored. */
export type DecisionHistoryOptions = {
	/** Capacity for ordinary decisions. */
	ordinary?: number;
	/** Capacity for refusals, retries and answers from the ledger. */
	notable?: number;
};

/** A bounded history of decisions. */
export type DecisionHistory = {
	/** Stores a decision; overwrites the oldest one of its kind when full. */
	record(decision: RecordedDecision): void;
	/** Returns the stored decisions about a request, oldest first. */
	explain(request: string): Explanation['decisions'];
};

const defaultOrdinary = 4096;
const defaultNotable = 4096;
/** Longer reasons are truncated to this many characters, which bounds the history in bytes. */
const maxReasonLength = 300;

/** Creates an empty history. */
export function createDecisionHistory(
	options: DecisionHistoryOptions = {},
): DecisionHistory {
	const ordinary = createRing(options.ordinary ?? defaultOrdinary);
	const notable = createRing(options.notable ?? defaultNotable);
	let order = 0;
	return {
		record(decision) {
			const ring = isNotable(decision.name) ? notable : ordinary;
			const {request, name, at, reason, details} = decision;
			ring.add({
				request,
				name,
				at,
				reason:
					reason.length > maxReasonLength
						? reason.slice(0, maxReasonLength)
						: reason,
				...(details && {details}),
				order: order++,
			});
		},
		explain: (request) =>
			[...ordinary.findByRequest(request), ...notable.findByRequest(request)]
				.sort((left, right) => left.order - right.order)
				.map(({name, at, reason, details}) => ({
					at: new Date(at).toISOString(),
					event: events[name].code,
					name,
					reason,
					details: {...details},
				})),
	};
}

function isNotable(name: DecisionEventName): boolean {
	const definition: EventDefinition = events[name];
	return definition.isNotable ?? false;
}

type RingEntry = RecordedDecision & {order: number};

function createRing(capacity: number) {
	const entries: RingEntry[] = [];
	let next = 0;
	return {
		add(decision: RingEntry) {
			entries[next] = decision;
			next = (next + 1) % capacity;
		},
		findByRequest: (request: string) =>
			[...entries.slice(next), ...entries.slice(0, next)].filter(
				(entry) => entry.request === request,
			),
	};
}
