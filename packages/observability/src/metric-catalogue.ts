/**
 * All metrics of a node, named by the rules of Prometheus: base units, `_total`
 * for counters. The registry and docs/METRICS.md are generated from this table.
 */

import {meshMetricDefinitions} from './mesh-metric-catalogue.js';
import type {MetricDefinition} from './metric-definition.js';

/** Histogram buckets in seconds; finest in the range of the latency that a hop adds. */
export const timeBuckets = [
	0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5,
	10, 30,
] as const;

/** All metric definitions, those of mesh nodes included. */
export const metricDefinitions = {
	...meshMetricDefinitions,
	requests: {
		name: 'egretspoke_requests_total',
		type: 'counter',
		labels: ['role', 'service', 'class', 'outcome', 'error'],
		help: 'Requests that ended, by role of this node, service, class, outcome and error.',
		reading:
			'Goodput is `outcome="answered"` with `role="entry"`; `not_run` is a refusal that certainly has not run; `unknown` is neither.',
	},
	requestDuration: {
		name: 'egretspoke_request_duration_seconds',
		type: 'histogram',
		labels: ['role', 'service'],
		help: 'Time from the arrival of a request to its answer.',
		reading: 'All outcomes together; refusals are fast and pull it down.',
	},
	queueTime: {
		name: 'egretspoke_queue_time_seconds',
		type: 'histogram',
		labels: ['service'],
		help: "Time that dispatched requests waited at the target's node.",
		reading: 'Above the target time of the queue for a long time: an overload.',
	},
	inFlight: {
		name: 'egretspoke_requests_in_flight',
		type: 'gauge',
		labels: ['service'],
		help: 'Requests running at the target beside this node.',
		reading: 'At most egretspoke_concurrency_limit.',
	},
	waiting: {
		name: 'egretspoke_requests_waiting',
		type: 'gauge',
		labels: ['service'],
		help: 'Requests waiting for a slot of the target beside this node.',
		reading: 'A standing queue with a falling level is an overload.',
	},
	concurrencyLimit: {
		name: 'egretspoke_concurrency_limit',
		type: 'gauge',
		labels: ['service'],
		help: 'The learnt limit of requests running at the target.',
		reading: 'Far below the announced slots: the target has become slow.',
	},
	admissionLevel: {
		name: 'egretspoke_admission_level',
		type: 'gauge',
		labels: ['service'],
		help: 'The admission level; requests whose priority number is above it are refused.',
		reading:
			'383 lets everything in; below 256 all deferrable requests are refused, below 128 all normal ones too.',
	},
	openRequests: {
		name: 'egretspoke_open_requests',
		type: 'gauge',
		labels: [],
		help: 'Requests that entered here and have not been answered yet.',
		reading: 'Falls to 0 in a drain.',
	},
	retries: {
		name: 'egretspoke_retries_total',
		type: 'counter',
		labels: ['service'],
		help: 'Attempts beyond the first that this node made.',
		reading:
			'Its rate divided by the rate of requests is the share of retries.',
	},
	retriesRefused: {
		name: 'egretspoke_retries_refused_total',
		type: 'counter',
		labels: ['service'],
		help: 'Attempts that the chain, the budget or the deadline forbade.',
		reading: 'Rises in an overload, when the limits on retries take effect.',
	},
	configurationVersion: {
		name: 'egretspoke_configuration_version',
		type: 'gauge',
		labels: [],
		help: 'The configuration version in force; 0 for the safe defaults.',
		reading: 'The same on every node within seconds of a confirm.',
	},
	configurationReported: {
		name: 'egretspoke_configuration_reported_version',
		type: 'gauge',
		labels: [],
		help: 'The newest configuration version that the platform or another node has reported.',
		reading:
			'Above the version in force for more than a second: no source that reported it answers; see event 2208.',
	},
	configurationAge: {
		name: 'egretspoke_configuration_age_seconds',
		type: 'gauge',
		labels: ['source'],
		help: 'Time since the configuration came into force, by the source that it came from.',
		reading: 'Compare between nodes after a change.',
	},
	configurationSilence: {
		name: 'egretspoke_configuration_source_silence_seconds',
		type: 'gauge',
		labels: ['source'],
		help: 'Time since the platform, and each other node, last reported its configuration version.',
		reading:
			'High for all sources: this node is cut off. High for one: that source is frozen, or the link to it is dead.',
	},
	members: {
		name: 'egretspoke_members',
		type: 'gauge',
		labels: ['state'],
		help: 'Members as this node sees them, by state.',
		reading: 'Compare between nodes: different counts mean a partition.',
	},
	peersConnected: {
		name: 'egretspoke_peers_connected',
		type: 'gauge',
		labels: [],
		help: 'Peers with an open, authenticated connection.',
		reading:
			'Below the number of active members for a long time: a link is down.',
	},
	leaving: {
		name: 'egretspoke_leaving',
		type: 'gauge',
		labels: [],
		help: '1 while this node takes no new work.',
		reading: 'Expected in a planned stop only.',
	},
	suspensions: {
		name: 'egretspoke_suspensions_total',
		type: 'counter',
		labels: [],
		help: 'Pauses of this process that were longer than its lease.',
		reading: 'Above 0: the VM is paused at times.',
	},
	platformReachable: {
		name: 'egretspoke_platform_reachable',
		type: 'gauge',
		labels: [],
		help: '1 when the last call to the platform was answered.',
		reading: 'At 0 the last accepted configuration stays in force.',
	},
	malformedInput: {
		name: 'egretspoke_malformed_input_total',
		type: 'counter',
		labels: ['listener', 'kind'],
		help: 'Input refused before it became a request or a message.',
		reading: 'A faulty caller, an attack, or two protocol versions in use.',
	},
	lateAnswers: {
		name: 'egretspoke_late_answers_total',
		type: 'counter',
		labels: [],
		help: 'Answers dropped because their exchange had been given up.',
		reading: 'Wasted work: these answers reached no caller.',
	},
	ledgerKeys: {
		name: 'egretspoke_ledger_keys',
		type: 'gauge',
		labels: [],
		help: 'Idempotency keys that this node remembers.',
		reading: 'At limits.ledgerKeys new keys are refused here.',
	},
	ledgerBytes: {
		name: 'egretspoke_ledger_bytes',
		type: 'gauge',
		labels: [],
		help: 'Bytes of recorded answers in the ledger.',
		reading: 'At limits.ledgerBytes new keys are refused here.',
	},
	childRestarts: {
		name: 'egretspoke_child_restarts_total',
		type: 'counter',
		labels: ['child'],
		help: 'Restarts of a part of this node after it failed.',
		reading: 'Above 0: a defect of egretspoke; see event 2006.',
	},
	logLinesDropped: {
		name: 'egretspoke_log_lines_dropped_total',
		type: 'counter',
		labels: [],
		help: 'Log lines dropped because they came faster than they were written.',
		reading: 'Lower logs.sample.',
	},
	processorTime: {
		name: 'process_cpu_seconds_total',
		type: 'counter',
		labels: [],
		help: 'Processor time of the process, user and system.',
		reading: 'Its rate is the share of a core.',
	},
	residentMemory: {
		name: 'process_resident_memory_bytes',
		type: 'gauge',
		labels: [],
		help: 'Resident memory of the process.',
		reading: 'Constant under a steady load.',
	},
	targetCrashes: {
		name: 'egretspoke_target_crashes_total',
		type: 'counter',
		labels: [],
		help: 'Crashes of the target beside this node, noticed by its connections.',
		reading:
			'Rises at many nodes of one service within seconds: one request may crash each target that runs it, see event 1607.',
	},
	quarantined: {
		name: 'egretspoke_quarantined_total',
		type: 'counter',
		labels: [],
		help: 'Requests that entered at this node and were given to no target, since they crash those that run them.',
		reading:
			'Above 0: a caller repeats a request that crashes targets; events 1607 and 1608 identify it.',
	},
} as const satisfies Record<string, MetricDefinition>;

/** The key of a metric in the table. */
export type MetricKey = keyof typeof metricDefinitions;
