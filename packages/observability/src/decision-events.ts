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
			'One caller only: tell its owner. All callers of a service: see `egretspoke targets`.',
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
			'An attempt was certainly not run, and the chain, the budget and the deadline allow another.',
		advice:
			'Nothing to do for single ones; see egretspoke_retries_total for a trend.',
	},
	retryRefused: {
		code: 1202,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'not tried again: {reason}',
		meaning:
			'Another attempt would exceed the attempts of the chain, the retry budget or the deadline.',
		advice:
			'Never raise the attempts to cure an overload; find the slow service.',
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
			'All slots are taken; the request waits within the time that the queue allows.',
		advice: 'Nothing to do; see egretspoke_queue_time_seconds for a trend.',
	},
	admissionRefused: {
		code: 1303,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'refused at the target: {reason}',
		meaning:
			'The target has no room for this request now; it was not run, and its caller was told when to come back.',
		advice:
			'Expected in an overload. Essential requests among them for minutes: add targets.',
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
		advice: '`lost` or `cut` often: see the target itself.',
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
		meaning: 'Another node remembers this key and decides about it.',
		advice: 'Nothing to do.',
	},
	requestEnded: {
		code: 1901,
		level: 'debug',
		kind: 'decision',
		template: 'ended: {reason}',
		meaning: 'The caller has its one final answer.',
		advice: 'Nothing to do.',
	},
	crashedUnder: {
		code: 1607,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'its target crashed while it ran',
		meaning:
			'The target had this request when its process ended unannounced. `identity` is the same for repeats of the request under other ids, `ran` the milliseconds that the target had it, `crashes` how many are put down to it so far.',
		advice:
			'An identity that comes back at one crash after the other names the request that causes them.',
	},
	quarantined: {
		code: 1608,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'not given to any target: it crashes those that run it',
		meaning:
			'Targets crashed under this request, whatever its id, one after the other, and none answered it. No target gets it any more; it has run, so its caller is not told that it has not.',
		advice:
			'`egretspoke explain` shows the crashes under the same `identity`, in lines 1607. Mend the service; the request is let in again when it has not come for an hour.',
	},
} as const satisfies Record<string, EventDefinition>;
