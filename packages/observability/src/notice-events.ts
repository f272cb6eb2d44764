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
			'Above 0: raise timings.drain to the duration of the longest request before the next stop.',
	},
	childFailed: {
		code: 2006,
		level: 'error',
		kind: 'notice',
		template: '{path} failed and restarts in {restartIn} ms: {detail}',
		meaning:
			'One component of the node failed; only that component is restarted.',
		advice:
			'Once: report it with this line. Repeatedly: drain and replace the VM.',
	},
	suspended: {
		code: 2007,
		level: 'warn',
		kind: 'notice',
		template: 'was paused for {pause} ms, longer than its lease',
		meaning:
			'The process or VM was paused; the node refuses work until it has announced itself again.',
		advice: 'Check for a VM migration or an overcommitted host.',
	},
	requestsCut: {
		code: 2008,
		level: 'warn',
		kind: 'notice',
		template:
			'connection of a caller ended, {cause}: {requests} accepted requests without a whole answer, {answered} of them answered',
		meaning:
			'This node ended a connection whose caller still waited: `closingAnswer` after an answer that announced it, `malformedRequest` because of bytes that are no request, `limit` because it exceeded a limit, or held most when all connections together did, `stop` at the end of a stop, `server` for another reason. The requests may have run.',
		advice:
			'With `stop`: a caller read its answer too slowly. Others should not occur; report them.',
	},
	requestsGivenUp: {
		code: 2009,
		level: 'warn',
		kind: 'notice',
		template:
			'{requests} requests of callers still ran at the end of the stop, {cause}',
		meaning:
			'They were answered as unknown, or as not run if no target had been given them: `drainTime` when the time of a planned stop ran out, `stop` when the stop was to be immediate.',
		advice:
			'With `drainTime`: raise timings.drain to the duration of the longest request before the next stop.',
	},
	listenerTaken: {
		code: 2090,
		level: 'warn',
		kind: 'notice',
		template:
			'listeners.{listener} {address} is taken, tried again in {retryIn} ms: {detail}',
		meaning:
			'Another process holds the port. The start waits for timings.drain and 6 s, since a former node may still finish its planned stop; then it ends with code 1.',
		advice:
			'Nothing to do after a planned stop. Otherwise find out which process listens there.',
	},
	taskFailed: {
		code: 2091,
		level: 'error',
		kind: 'notice',
		template: 'background task {task} failed: {detail}',
		meaning:
			'One round of a task, such as gossip after a change, failed. The loops that repeat it go on.',
		advice: 'Once: report it with this line. Repeatedly: replace the VM.',
	},
	listenerFailed: {
		code: 2092,
		level: 'error',
		kind: 'notice',
		template: 'listeners.{listener} reported an error and goes on: {detail}',
		meaning:
			'The operating system refused something to an open listener, such as a descriptor for a new connection (EMFILE).',
		advice: 'With EMFILE: raise the limit of open files of the process.',
	},
	memberChanged: {
		code: 2101,
		level: 'info',
		kind: 'notice',
		template: 'member {node} is {state}',
		meaning:
			'A placement decision: the state of another node as seen by this one, which decides whether work is sent there.',
		advice:
			'`suspect` or `gone` without a planned stop: check whether its VM responds.',
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
			'The connection closed. Its open exchanges end as not run or unknown.',
		advice: 'Many at once: a rack, a data centre or a link is cut off.',
	},
	peerRefused: {
		code: 2104,
		level: 'warn',
		kind: 'notice',
		template: 'refused a peer: {detail}',
		meaning:
			'A connection to the peer listener lacked the secret or used another protocol version.',
		advice: 'During an upgrade: finish it. Otherwise find out who connects.',
	},
	answerDropped: {
		code: 2105,
		level: 'warn',
		kind: 'notice',
		template: 'an answer to peer {peer} was dropped',
		meaning:
			'The request had run, but the connection was closed or full of unread answers. Its caller was told that the outcome is unknown.',
		advice:
			'Together with event 2103: the peer is gone. Otherwise that peer or the link to it is too slow for its answers.',
	},
	configurationTaken: {
		code: 2201,
		level: 'info',
		kind: 'notice',
		template:
			'configuration version {version} in force, from {source}, {delay} ms after the first report of a newer one',
		meaning:
			'An accepted configuration with a higher version than the last one is in force on this node.',
		advice: 'Nothing to do.',
	},
	configurationRefused: {
		code: 2202,
		level: 'warn',
		kind: 'notice',
		template: 'configuration version {version} not taken: {detail}',
		meaning:
			'The received configuration has no higher version, is incomplete, or does not match its checksum; the last one stays in force.',
		advice: 'Repeatedly: find out who writes the head row of the table.',
	},
	runningOnDefaults: {
		code: 2203,
		level: 'warn',
		kind: 'notice',
		template: 'no accepted configuration so far; safe defaults are in force',
		meaning:
			'No configuration has ever been accepted, or neither the platform nor a peer could provide it.',
		advice:
			'Together with event 2301: restore the platform or the link; the node then recovers without further action. Otherwise: confirm a first plan.',
	},
	configurationNotReceived: {
		code: 2208,
		level: 'info',
		kind: 'notice',
		template:
			'configuration version {version} requested from {source}, not received: {reason}',
		meaning:
			'A node announced a newer version and was asked for it. `linkClosed`: the link on which it was announced no longer exists; `noAnswer`: the node did not answer in time. Another source is asked.',
		advice:
			'Many from one source: it is frozen or cut off. Compare event 2201 for when the version came into force.',
	},
	planMade: {
		code: 2204,
		level: 'info',
		kind: 'notice',
		template: 'plan {plan} by {author} against version {version}',
		meaning:
			'An operator requested a plan, which shows what an intent would change.',
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
			'A read of the table failed. Requests are still served; no new configuration can be accepted.',
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
			'Too large, too slow, truncated or not HTTP; only that caller received an error.',
		advice: 'Find the caller if the count grows.',
	},
	malformedMessage: {
		code: 2402,
		level: 'warn',
		kind: 'notice',
		template: 'malformed message from a peer: {detail}',
		meaning: 'A peer sent an invalid message or uses another protocol version.',
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
		meaning: 'The exchange was abandoned before its answer arrived.',
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
			'All requests at the target were lost and it accepts no connection, and it had not announced that it was leaving.',
		advice:
			'Check the target; events 1607 of the same moment contain the requests that it was running.',
	},
	requestQuarantined: {
		code: 2511,
		level: 'warn',
		kind: 'notice',
		template: 'request {identity} is in quarantine after {crashes} crashes',
		meaning:
			'According to the local target, a peer or the store, the request crashes the targets that run it.',
		advice: 'Look for event 1607 with this identity, which contains its route.',
	},
} as const satisfies Record<string, EventDefinition>;
