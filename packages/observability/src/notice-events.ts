/** Events about the node itself, its peers and the platform. */
import type {EventDefinition} from './event-definition.js';

/** The first two digits of a code give its subject: process 20, membership 21, configuration 22, platform 23, input 24, log 29. */
export const noticeEvents = {
	started: {
		code: 2001,
		level: 'info',
		kind: 'notice',
		template:
			'started: callers {caller}, peers {peer}, operators {admin}, data centre {dataCentre}',
		meaning: 'All listeners are open.',
		advice: 'Nothing to do.',
	},
	leaving: {
		code: 2003,
		level: 'info',
		kind: 'notice',
		template: 'leaving: {reason}',
		meaning: 'The node takes no new work and finishes what is in flight.',
		advice: 'Wait for event 2004; do not kill the process.',
	},
	drained: {
		code: 2004,
		level: 'info',
		kind: 'notice',
		template: 'drained; {cut} requests cut',
		meaning:
			'Nothing is in flight any more. A number above 0 means that the drain time ran out.',
		advice:
			'Above 0: raise timings.drain to the longest request before the next stop.',
	},
	childFailed: {
		code: 2006,
		level: 'error',
		kind: 'notice',
		template: '{path} failed and restarts in {restartIn} ms: {detail}',
		meaning: 'One part of the node failed and is restarted alone.',
		advice:
			'Once: report it with the line. Again and again: drain and replace the VM.',
	},
	suspended: {
		code: 2007,
		level: 'warn',
		kind: 'notice',
		template: 'was paused for {pause} ms, longer than its lease',
		meaning:
			'The process or VM stood still; the node refuses work until it has announced itself again.',
		advice: 'Look for a VM migration or a starved host.',
	},
	memberChanged: {
		code: 2101,
		level: 'info',
		kind: 'notice',
		template: 'member {node} is {state}',
		meaning:
			'A placement decision: what this node thinks of another, and so whether work goes there.',
		advice:
			'`suspect` or `gone` without a planned stop: see whether its VM answers.',
	},
	peerConnected: {
		code: 2102,
		level: 'info',
		kind: 'notice',
		template: 'connected to peer {peer}',
		meaning: 'The handshake with another node succeeded.',
		advice: 'Nothing to do.',
	},
	peerLost: {
		code: 2103,
		level: 'warn',
		kind: 'notice',
		template: 'lost peer {peer}',
		meaning:
			'The connection closed. Exchanges under way on it end as not run or unknown.',
		advice: 'Many at once: a rack, a data centre or a link is cut off.',
	},
	peerRefused: {
		code: 2104,
		level: 'warn',
		kind: 'notice',
		template: 'refused a peer: {detail}',
		meaning:
			'Somebody spoke to the peer listener without the secret, or in another protocol version.',
		advice: 'During an upgrade: finish it. Otherwise find out who connects.',
	},
	configurationTaken: {
		code: 2201,
		level: 'info',
		kind: 'notice',
		template: 'configuration version {version} in force, from {source}',
		meaning: 'An accepted configuration higher than the last is in force here.',
		advice: 'Nothing to do.',
	},
	configurationRefused: {
		code: 2202,
		level: 'warn',
		kind: 'notice',
		template: 'configuration version {version} not taken: {detail}',
		meaning:
			'What came is not higher, not whole, or does not fit its checksum; the last one stays in force.',
		advice: 'Again and again: see who writes the head row of the table.',
	},
	runningOnDefaults: {
		code: 2203,
		level: 'warn',
		kind: 'notice',
		template: 'no accepted configuration so far; safe defaults are in force',
		meaning:
			'None has ever been accepted, or neither the platform nor a peer could give it.',
		advice:
			'With 2301 beside it: bring back the platform or the link; it mends itself then. Without: confirm a first plan.',
	},
	planMade: {
		code: 2204,
		level: 'info',
		kind: 'notice',
		template: 'plan {plan} by {author} against version {version}',
		meaning: 'An operator asked what an intent would change.',
		advice: 'Nothing to do.',
	},
	planConfirmed: {
		code: 2205,
		level: 'info',
		kind: 'notice',
		template: 'plan {plan} accepted as version {version}',
		meaning: 'The configuration changed.',
		advice: 'Nothing to do.',
	},
	planConflict: {
		code: 2206,
		level: 'info',
		kind: 'notice',
		template: 'plan {plan} not accepted: {detail}',
		meaning: 'Another plan was confirmed first; nothing was written.',
		advice: 'The operator plans again against the new version.',
	},
	planUnknown: {
		code: 2207,
		level: 'warn',
		kind: 'notice',
		template: 'plan {plan} may have been accepted: {detail}',
		meaning:
			'The answer of the table was lost and its record cannot be read yet.',
		advice: 'Run `egretspoke confirm` with the same plan again; it is safe.',
	},
	platformUnreachable: {
		code: 2301,
		level: 'warn',
		kind: 'notice',
		template:
			"the platform can't be reached, the configuration in force stays: {detail}",
		meaning:
			'A read of the table failed. Requests are served on; nothing new can be accepted.',
		advice:
			'Do not restart nodes in an outage: they would lose the configuration they hold.',
	},
	platformReachable: {
		code: 2302,
		level: 'info',
		kind: 'notice',
		template: 'the platform answers',
		meaning: 'The first read, or the first one after an outage, was answered.',
		advice: 'Nothing to do.',
	},
	malformedRequest: {
		code: 2401,
		level: 'warn',
		kind: 'notice',
		template: 'malformed request from a caller: {fault}',
		meaning:
			'Too large, too slow, cut short or not HTTP; that caller alone got an error.',
		advice: 'Find the caller if the count grows.',
	},
	malformedMessage: {
		code: 2402,
		level: 'warn',
		kind: 'notice',
		template: 'malformed message from a peer: {detail}',
		meaning: 'A peer speaks nonsense or another version.',
		advice: 'During an upgrade: finish it. Otherwise drain that peer.',
	},
	operatorRefused: {
		code: 2403,
		level: 'warn',
		kind: 'notice',
		template: 'refused an operator call: {detail}',
		meaning: 'A call to the admin listener lacked the secret or was malformed.',
		advice: 'Find out who calls; change secrets.operator if it has leaked.',
	},
	lateAnswer: {
		code: 2404,
		level: 'debug',
		kind: 'notice',
		template: 'dropped a late answer from {peer}',
		meaning: 'The exchange was given up before its answer came.',
		advice: 'Many: that peer or the path to it is slow.',
	},
	linesDropped: {
		code: 2901,
		level: 'warn',
		kind: 'notice',
		template: '{count} log lines dropped',
		meaning: 'Lines came faster than they could be written.',
		advice: 'Lower logs.sample, or read the output faster.',
	},
	targetCrashed: {
		code: 2510,
		level: 'warn',
		kind: 'notice',
		template: 'the target crashed with {requests} requests',
		meaning:
			'Every request at the target was lost and it takes no connection, without having announced its leaving.',
		advice:
			'Look at the target; lines 1607 of this moment name the requests that it had.',
	},
	requestQuarantined: {
		code: 2511,
		level: 'warn',
		kind: 'notice',
		template: 'request {identity} is in quarantine after {crashes} crashes',
		meaning:
			'This node has learnt, by its own target, a peer or the store, that the request crashes the targets that run it.',
		advice: 'Look for line 1607 with this identity, which names its route.',
	},
} as const satisfies Record<string, EventDefinition>;
