/** The events of a mesh node: its target, the store, and the outcomes of requests. */
import type {EventDefinition} from './event-definition.js';

/** Codes of decisions are 16xx, those of notices 25xx; some codes in these ranges are events of both kinds of node. */
export const meshEvents = {
	meshOwnAnswer: {
		code: 1601,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template: 'answered {status} by this node: {reason}',
		meaning:
			'No target answered this request for its caller. 503 says that it has not run; 502 and 504 leave that open.',
		advice:
			'Many with `shed` or `noRoom`: the service or one that it calls is overloaded. Many with `linkLost`: look at the peers.',
	},
	meshSentAgain: {
		code: 1602,
		level: 'info',
		kind: 'decision',
		template: 'sent again, first target {from}: {reason}',
		meaning:
			'A target got the request and did not answer it; another one gets it, out of the retry budget.',
		advice: 'Many from one target: replace it.',
	},
	meshTurnedAway: {
		code: 1603,
		level: 'info',
		kind: 'decision',
		template: 'turned away by {from}: {reason}',
		meaning:
			'The node beside the chosen target did not hand the request over; another target is chosen.',
		advice: 'Some while targets join or leave are usual.',
	},
	meshTargetFailed: {
		code: 1604,
		level: 'info',
		kind: 'decision',
		template: "the target's own {status} passed on, from {from}",
		meaning:
			'A target ran the request and failed, and it was not or may not be sent again.',
		advice:
			'Look for lines about calls whose id begins with this one; without any, the fault is in the target itself.',
	},
	meshOfferedAgain: {
		code: 1605,
		level: 'info',
		kind: 'decision',
		template: 'offered again to its target: {reason}',
		meaning:
			'The target declined the request although it had room, and got it again, out of the budget for repeats; the reason is what came of it.',
		advice: 'Many from one target: look at the target itself.',
	},
	meshRejected: {
		code: 1606,
		level: 'info',
		kind: 'decision',
		template: 'rejected with {status}: {reason}',
		meaning:
			'The request was not looked at further: no configuration is known yet, no route takes it, its key names no workspace, or its workspace has used up its quota. It has not run.',
		advice:
			'Many with `unknownKey` after a change: callers still use a key that was taken away. Many with `quotaExceeded` of one caller: it sends more than its workspace may.',
	},
	meshStarted: {
		code: 2501,
		level: 'info',
		kind: 'notice',
		template:
			'started beside {service} in {dataCentre}: callers {callers}, peers {peers}',
		meaning: 'All listeners are open.',
		advice: 'Nothing to do.',
	},
	meshTargetChanged: {
		code: 2502,
		level: 'info',
		kind: 'notice',
		template: 'target {target} of {service} is {state}',
		meaning:
			'What this node believes of the target beside it, and so whether it gets work.',
		advice: 'Nothing to do.',
	},
	meshTargetReplaced: {
		code: 2503,
		level: 'warn',
		kind: 'notice',
		template: 'the address of target {target} belongs to another one now',
		meaning:
			'The target answered that it is not the expected one; it gets no work until it announces itself.',
		advice: 'Nothing to do.',
	},
	meshTargetUnreachable: {
		code: 2504,
		level: 'warn',
		kind: 'notice',
		template: 'target {target} takes no connection: {detail}',
		meaning: 'The target has ended or its queue of connections is full.',
		advice:
			'Look at the target; it gets work again after its next announcement.',
	},
	meshAnnouncementMalformed: {
		code: 2505,
		level: 'warn',
		kind: 'notice',
		template: 'announcement of {target} not taken: {detail}',
		meaning:
			'Fields are missing or of another type; what was known before holds.',
		advice: 'Find out who sent it.',
	},
	meshRowMalformed: {
		code: 2506,
		level: 'warn',
		kind: 'notice',
		template: 'row {key} of the members is malformed',
		meaning: 'Somebody else wrote it; it is left out.',
		advice: 'Find out who writes to the table.',
	},
	meshSettingsRead: {
		code: 2507,
		level: 'info',
		kind: 'notice',
		template: 'settings read again',
		meaning: 'The settings file was read on request.',
		advice: 'Nothing to do.',
	},
	meshSettingsRefused: {
		code: 2508,
		level: 'error',
		kind: 'notice',
		template: 'changed settings not taken: {detail}',
		meaning: 'The file can not be used; the settings in force stay.',
		advice: 'Mend the file.',
	},
	meshMetricsUnavailable: {
		code: 2509,
		level: 'warn',
		kind: 'notice',
		template: 'no metrics at {address}: {detail}',
		meaning:
			'The address for metrics is taken or not allowed; requests are served without.',
		advice: 'Free the port on this VM and start the node again.',
	},
} as const satisfies Record<string, EventDefinition>;
