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
			'The caller did not receive an answer of a target. 503 means that the request has not run; with 502 and 504 it may have run.',
		advice:
			'Many with `shed` or `noRoom`: the service or one that it calls is overloaded. Many with `linkLost`: check the peers.',
	},
	meshSentAgain: {
		code: 1602,
		level: 'info',
		kind: 'decision',
		template: 'sent again, first target {from}: {reason}',
		meaning:
			'A target received the request and did not answer it; the request is sent to another one, which counts against the retry budget.',
		advice: 'Many from one target: replace it.',
	},
	meshTurnedAway: {
		code: 1603,
		level: 'info',
		kind: 'decision',
		template: 'turned away by {from}: {reason}',
		meaning:
			'The node of the chosen target did not hand the request over; another target is chosen.',
		advice: 'A few are normal while targets join or leave.',
	},
	meshTargetFailed: {
		code: 1604,
		level: 'info',
		kind: 'decision',
		template: "the target's own {status} passed on, from {from}",
		meaning:
			'A target ran the request and failed; the request was not, or must not be, sent again.',
		advice:
			'Look for lines about calls whose id begins with the id of this request; if there are none, the fault is in the target itself.',
	},
	meshOfferedAgain: {
		code: 1605,
		level: 'info',
		kind: 'decision',
		template: 'offered again to its target: {reason}',
		meaning:
			'The target declined the request although it had capacity, and received it again, which counts against the budget for repeats; the reason is the outcome.',
		advice: 'Many from one target: check the target itself.',
	},
	meshRejected: {
		code: 1606,
		level: 'info',
		kind: 'decision',
		template: 'rejected with {status}: {reason}',
		meaning:
			'The request was not processed: there is no configuration yet, no route matches it, its key belongs to no workspace, its workspace has exhausted its quota, this node has no memory for it (`noMemory`), or its body stopped arriving (`stalled`). It has not run.',
		advice:
			'`configuration` is the version that decided; compare it with the one that the operator expects. Many with `unknownKey` after a change: callers still use a key that was removed. Many with `quotaExceeded` from one caller: it exceeds the quota of its workspace. Many with `noMemory`: see `egretspoke_mesh_held_bytes`.',
	},
	meshForeignResponse: {
		code: 1609,
		level: 'info',
		kind: 'decision',
		template:
			'its connection to the target delivered a response to {responseTo}: {reason}',
		meaning:
			"The target sent another request's response where the response to this request was expected; the reason is its status. It is skipped, and the response to this request is still awaited.",
		advice: 'The target sends responses twice: check the target.',
	},
	meshOutdatedRoute: {
		code: 1610,
		level: 'info',
		kind: 'decision',
		isNotable: true,
		template:
			'routed to {service} by configuration version {configuration}, while version {newerConfiguration} has been known for {newerKnownFor} ms',
		meaning:
			'The node has heard of a newer configuration and has not received it, so the request went where the previous one says.',
		advice:
			'See events 2208 of the node for the sources that it asked, and event 2201 for when the version came into force.',
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
			'The state of the local target as seen by this node, which decides whether it receives work.',
		advice: 'Nothing to do.',
	},
	meshTargetReplaced: {
		code: 2503,
		level: 'warn',
		kind: 'notice',
		template: 'the address of target {target} belongs to another one now',
		meaning:
			'The target answered that it is not the expected one; it receives no work until it announces itself.',
		advice: 'Nothing to do.',
	},
	meshTargetUnreachable: {
		code: 2504,
		level: 'warn',
		kind: 'notice',
		template: 'target {target} takes no connection: {detail}',
		meaning: 'The target has ended or its connection backlog is full.',
		advice:
			'Check the target; it receives work again after its next announcement.',
	},
	meshAnnouncementMalformed: {
		code: 2505,
		level: 'warn',
		kind: 'notice',
		template: 'announcement of {target} not taken: {detail}',
		meaning:
			'Fields are missing or have another type; the previous announcement stays in effect.',
		advice: 'Find out who sent it.',
	},
	meshRowMalformed: {
		code: 2506,
		level: 'warn',
		kind: 'notice',
		template: 'row {key} of {table} is malformed: {detail}',
		meaning:
			'Another program wrote the row; it is ignored, and the other rows hold.',
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
		meaning: 'The file cannot be used; the settings in force stay.',
		advice: 'Correct the file.',
	},
	meshRateLimitChanged: {
		code: 2512,
		level: 'info',
		kind: 'notice',
		template:
			'rate limit of target {target} {change}: {limit} a second, before {previous} for {previousAge} ms',
		meaning:
			'The target stated in its answers how many requests a second it accepts from all nodes together, or stopped stating it. At most one line a second.',
		advice:
			'The target is in need: find out why. Requests beyond the limit go to the other targets of its service.',
	},
	meshRateLimitMalformed: {
		code: 2513,
		level: 'warn',
		kind: 'notice',
		template:
			'target {target} stated the rate limit {value}, which is no decimal number; {limit} stays in force',
		meaning:
			'The header is repeated, negative, infinite or not a number. At most one line a second.',
		advice: 'Correct the target.',
	},
	meshTargetLeaves: {
		code: 2514,
		level: 'info',
		kind: 'notice',
		template: 'target {target} states in its answers that it is leaving',
		meaning:
			'The target receives no further requests, although it may not have announced that it is leaving. After a restart of this node, another node may have reported it.',
		advice: 'Nothing to do.',
	},
	meshServiceDeclines: {
		code: 2520,
		level: 'info',
		kind: 'notice',
		template:
			'{service} declines calls, {change}: up to {level} of its calls cannot complete',
		meaning:
			'The targets of the service decline so many calls that the allowed repeats do not suffice. This entry refuses requests that make calls there, by priority and cost, as `shed`. `duration` is in milliseconds.',
		advice:
			'Find out why the targets decline calls; `egretspoke_mesh_declined_ratio` shows which ones do.',
	},
	meshServiceLostTargets: {
		code: 2521,
		level: 'info',
		kind: 'notice',
		template:
			'{service} has lost targets, {change}: up to {level} of its demand has no capacity',
		meaning:
			'The remaining targets cannot take the demand that the lost ones reported. This entry refuses the excess, as `shed`. `duration` is in milliseconds.',
		advice:
			'Restore the targets; lines 2103, 2502 and 2504 before it name them.',
	},
	meshServiceWaits: {
		code: 2522,
		level: 'info',
		kind: 'notice',
		template:
			'{service} is full of requests that wait for other services, {change}: up to {level} of them refused',
		meaning:
			'Some routes take at least twice their usual time at the service, others do not, and its slots are taken. This entry refuses requests that make calls there before others, as `shed`. `duration` is in milliseconds.',
		advice:
			'Look for the slow service among those that the route calls; the named service itself needs no more targets.',
	},
	meshPeerNotReading: {
		code: 2545,
		level: 'warn',
		kind: 'notice',
		template: 'closed a link whose peer left {bytes} bytes unread',
		meaning:
			'The peer did not read its link for long. Requests on the link end without an outcome; their callers receive 502, or the request is sent to another target.',
		advice:
			'Check the VM of the peer and its network. With large answers: check the bandwidth between the data centres.',
	},
	meshRequestsLost: {
		code: 2546,
		level: 'warn',
		kind: 'notice',
		template:
			'requests ended with a connection to {peer}, {cause}: {lost} may have run, {refused} have not',
		meaning:
			'`closed`: the connection ended. `silent`: the peer did not answer a probe. `stopped`: the peer stated at the end of its stop that it had not received them. Those that have not run, or may be repeated, were sent to other targets while there were any.',
		advice:
			'`closed` without 2547 of the peer: its process ended without a stop, or the network cut the connection. `silent`: check the VM of the peer and the network.',
	},
	meshLinksCut: {
		code: 2547,
		level: 'warn',
		kind: 'notice',
		template:
			'stopped with {links} links open, {running} requests running for them, outcomes unsent on {unsent}',
		meaning:
			'At the end of the stop, peers had not confirmed that they read everything: they are cut off or read slowly, or their requests ran until the end of the grace period. Requests without an outcome count as lost at those peers, see their event 2546.',
		advice:
			'`running` above 0: the grace period is shorter than the requests. Otherwise check the peers and the network.',
	},
	meshFairSharesChanged: {
		code: 2530,
		level: 'info',
		kind: 'notice',
		template:
			'{workspaces} workspaces are above their fair share of a full service',
		meaning:
			'Their requests are refused instead of those of workspaces below their share. 0: no service is full any more.',
		advice:
			'Often: the service lacks capacity, or quotas allow some workspaces too much.',
	},
	meshRequestsCut: {
		code: 2540,
		level: 'warn',
		kind: 'notice',
		template:
			'connection of a caller ended, {cause}: {requests} requests without a complete answer, {answered} of them answered but not sent',
		meaning:
			'This node ended a connection whose caller still waited: `closingAnswer` after an answer that announced it, `malformedRequest` because of bytes that are no request, `limit` because it exceeded a limit, or held most when all connections together did, `stop` at the end of a planned stop, `server` for another reason. The requests may have run.',
		advice:
			'With `stop`: some requests took longer than the grace period. Others should not occur; report them.',
	},
	meshMetricsUnavailable: {
		code: 2509,
		level: 'warn',
		kind: 'notice',
		template: 'no metrics at {address}: {detail}',
		meaning:
			'The address for metrics is not permitted; requests are served without metrics.',
		advice: 'Change the address and start the node again.',
	},
	listenerWaiting: {
		code: 2550,
		level: 'warn',
		kind: 'notice',
		template: 'the listener {listener} is not open yet: {detail}',
		meaning:
			'Another process holds the address, or the system lacks resources. The node goes on trying, and is not ready without its listeners.',
		advice:
			'After a restart: nothing, the former process is stopping. If it lasts, find the process that holds the port.',
	},
	listenerFailed: {
		code: 2551,
		level: 'error',
		kind: 'notice',
		template: 'the listener {listener} failed: {detail}',
		meaning:
			'A connection was not accepted; the listener stays open for others.',
		advice: 'Check the limit of file descriptors of the process.',
	},
	periodicWorkFailed: {
		code: 2552,
		level: 'error',
		kind: 'notice',
		template: 'periodic work failed and goes on with its next run: {detail}',
		meaning:
			'One run of periodic work ended early. At most ten lines in ten seconds.',
		advice: 'Report it with this line.',
	},
	unexpectedError: {
		code: 2553,
		level: 'error',
		kind: 'notice',
		template: 'unexpected error, the node goes on: {detail}',
		meaning:
			'The handling of one event ended early. Loops and periodic work are not affected.',
		advice: 'Report it with this line.',
	},
	processEnds: {
		code: 2554,
		level: 'error',
		kind: 'notice',
		template: 'the process ends with {exitCode}: {detail}',
		meaning: 'The node could not start, or its planned stop failed.',
		advice: 'Follow the detail; the platform starts the process again.',
	},
	signalIgnored: {
		code: 2555,
		level: 'warn',
		kind: 'notice',
		template: '{signal} ignored',
		meaning: 'A signal arrived that means nothing to the node.',
		advice:
			'Use SIGTERM to stop the node and SIGHUP after a change of the settings.',
	},
} as const satisfies Record<string, EventDefinition>;
