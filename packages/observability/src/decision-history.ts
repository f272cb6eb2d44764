/**
 * The recent decisions of a node by request id, for `egretspoke explain`.
 *
 * Two rings of fixed size: the ordinary decisions of a busy node fill theirs
 * within seconds, while refusals and retries, which people ask about, stay
 * for longer in the other. Nothing here grows with load.
 */
import type {Explanation} from '@egretspoke/protocol';
import {events, type DecisionEventName} from './event-catalogue.js';
import type {EventDefinition} from './event-definition.js';

/** One decision as it is remembered. */
export type RecordedDecision = {
	request: string;
	name: DecisionEventName;
	/** Milliseconds since 1970. */
	at: number;
	reason: string;
	details?: Readonly<Record<string, string | number>>;
};

/** How many decisions are remembered. */
export type DecisionHistoryOptions = {
	/** Ordinary decisions. */
	ordinary?: number;
	/** Refusals, retries and answers from the ledger. */
	notable?: number;
};

/** The memory. */
export type DecisionHistory = {
	/** Remembers a decision; forgets the oldest of its kind when full. */
	record(decision: RecordedDecision): void;
	/** What is still remembered of a request, the oldest first. */
	explain(request: string): Explanation['decisions'];
};

const defaultOrdinary = 4096;
const defaultNotable = 4096;
/** The longest reason that is kept, so that the memory is bounded in bytes. */
const maxReasonLength = 300;

/** Creates an empty memory. */
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
