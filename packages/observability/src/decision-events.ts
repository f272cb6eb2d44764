/** Events about one request: what was decided at each step, and why. */
import type {EventDefinition} from './event-definition.js';

/** Decisions, in the order in which they are made about a request. */
export const decisionEvents = {
	entryRefused: {
		code: 1002,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'refused at the entry: {reason}',
		meaning:
			'The request went to no target: it is malformed, names no known service, lacks a key or home, or the node is leaving.',
		advice:
			'From one caller only: notify its owner. From all callers of a service: see `egretspoke targets`.',
	},
	routed: {
		code: 1101,
		level: 'info',
		kind: 'decision',
		template: 'routed to {node}: {reason}',
		meaning:
			'The target for this attempt was chosen among the members of its service.',
		advice: 'Nothing to do.',
	},
	routingRefused: {
		code: 1102,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'no target chosen: {reason}',
		meaning:
			'Every target is gone, leaving, full, or refuses this class, so no work was spent on the request.',
		advice:
			'See `egretspoke targets`; if targets are missing, find out why they left.',
	},
	retried: {
		code: 1201,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'tried again: {reason}',
		meaning:
			'The previous attempt certainly did not run; the attempt limit of the call chain, the retry budget and the deadline allow another one.',
		advice:
			'Single retries need no action; see egretspoke_retries_total for the trend.',
	},
	retryRefused: {
		code: 1202,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'not tried again: {reason}',
		meaning:
			'Another attempt would exceed the attempt limit of the call chain, the retry budget or the deadline.',
		advice:
			'Do not raise the number of attempts to relieve an overload; find the slow service.',
	},
	admitted: {
		code: 1301,
		level: 'info',
		kind: 'decision',
		template: 'admitted: {reason}',
		meaning: "The target's node dispatched the request at once.",
		advice: 'Nothing to do.',
	},
	queued: {
		code: 1302,
		level: 'info',
		kind: 'decision',
		template: 'waits for a slot: {reason}',
		meaning:
			'All slots are in use; the request waits up to the maximum time of the queue.',
		advice: 'Nothing to do; see egretspoke_queue_time_seconds for the trend.',
	},
	admissionRefused: {
		code: 1303,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'refused at the target: {reason}',
		meaning:
			'The target has no capacity for this request now. The request did not run, and its caller received a time after which to retry.',
		advice:
			'Expected in an overload. If essential requests are refused for minutes: add targets.',
	},
	dispatched: {
		code: 1304,
		level: 'info',
		kind: 'decision',
		template: 'dispatched after its wait: {reason}',
		meaning: 'A waiting request got its slot.',
		advice: 'Nothing to do.',
	},
	targetEnded: {
		code: 1401,
		level: 'debug',
		kind: 'decision',
		template: 'the target ended it: {reason}',
		meaning:
			'The exchange with the target is over: an answer, a certified refusal, or a loss.',
		advice: 'Frequent `lost` or `cut`: check the target itself.',
	},
	keyRepeated: {
		code: 1501,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'answered from the ledger: {reason}',
		meaning:
			'A request with this idempotency key ran before; it did not run again.',
		advice: 'Nothing to do.',
	},
	keyRefused: {
		code: 1502,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'key refused: {reason}',
		meaning:
			'The key has expired, belongs to another request, or the ledger is full.',
		advice:
			'Ledger full: see egretspoke_ledger_keys, and raise limits.ledgerKeys if memory allows.',
	},
	homePassed: {
		code: 1503,
		level: 'info',
		kind: 'decision',
		template: 'passed to its home {home}: {reason}',
		meaning: 'Another node stores this key and decides about the request.',
		advice: 'Nothing to do.',
	},
	requestEnded: {
		code: 1901,
		level: 'debug',
		kind: 'decision',
		template: 'ended: {reason}',
		meaning: 'The caller received its only and final answer.',
		advice: 'Nothing to do.',
	},
	crashedUnder: {
		code: 1607,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'its target crashed while it ran',
		meaning:
			'The target was running this request when its process ended without announcing it. `identity` is the same for repeats of the request under other ids, `ran` is the time in milliseconds that the target had the request, and `crashes` is the number of crashes attributed to it so far.',
		advice:
			'An identity that recurs in successive crashes identifies the request that causes them.',
	},
	quarantined: {
		code: 1608,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'not given to any target: it crashes those that run it',
		meaning:
			'Successive targets crashed while running this request, under any id, and none answered it. It is no longer sent to any target. Because it has run, its caller does not receive an answer that claims otherwise.',
		advice:
			'`egretspoke explain` shows the crashes with the same `identity`, in events 1607. Fix the service; the request is admitted again once it has not been received for an hour.',
	},
} as const satisfies Record<string, EventDefinition>;
