/** The metrics that only mesh nodes have. Metrics that both kinds of node have are defined in `metric-catalogue.ts`. */
import type {MetricDefinition} from './metric-definition.js';

/** The metric definitions of mesh nodes. */
export const meshMetricDefinitions = {
	meshRequests: {
		name: 'egretspoke_mesh_requests_total',
		type: 'counter',
		labels: ['route', 'outcome', 'reason'],
		help: 'Requests that entered at this node and ended, calls of the target beside it included.',
		reading:
			'`answered` is a success, `failed` a failure of the target, `refused` a 503 that has not run or a 404 without a route, `unknown` a 502 or 504, `left` a caller that disconnected. `reason` is that of event 1601.',
	},
	meshRequestsCut: {
		name: 'egretspoke_mesh_requests_cut_total',
		type: 'counter',
		labels: ['cause'],
		help: 'Requests without a complete answer on connections of callers that this node ended.',
		reading: '`cause` is that of event 2540. 0 unless a stop was too short.',
	},
	meshRequestDuration: {
		name: 'egretspoke_mesh_request_duration_seconds',
		type: 'histogram',
		labels: ['route'],
		help: 'Time from the arrival of a request to its answer.',
		reading: 'All outcomes together; refusals are fast and pull it down.',
	},
	meshTargetDuration: {
		name: 'egretspoke_mesh_target_duration_seconds',
		type: 'histogram',
		labels: [],
		help: 'Time of the target beside this node for a request, calls of its own included.',
		reading: 'A jump at one target of a service: it has become slow.',
	},
	meshQueueTime: {
		name: 'egretspoke_mesh_queue_time_seconds',
		type: 'histogram',
		labels: [],
		help: 'Time that requests waited here before the target got them.',
		reading: 'Above 15 ms for a long time, the shed level rises.',
	},
	meshAttempts: {
		name: 'egretspoke_mesh_attempts_total',
		type: 'counter',
		labels: ['outcome'],
		help: 'Requests that other nodes and this one brought to the target beside this node, by what came of them.',
		reading:
			'`refused` was never handed to the target; `declined`: the target certified that it did not run it; `lost`: it may have run.',
	},
	meshTargetConnections: {
		name: 'egretspoke_mesh_target_connections_total',
		type: 'counter',
		labels: [],
		help: 'Connections that this node opened to the target beside it.',
		reading:
			'Nearly constant under an even load. A rise without more load: the target closes connections, or declines requests that are offered again.',
	},
	meshForeignResponses: {
		name: 'egretspoke_mesh_foreign_responses_total',
		type: 'counter',
		labels: [],
		help: 'Responses of the target to other requests than the one that its connection carried.',
		reading:
			'0 unless the target sends responses twice; see event 1609 for the requests.',
	},
	meshShedLevel: {
		name: 'egretspoke_mesh_shed_level',
		type: 'gauge',
		labels: [],
		help: 'Priorities of new work that the entries are asked to refuse for this target.',
		reading:
			'0 under normal load. Above 0 for a long time: the service, or one that it calls, lacks capacity.',
	},
	meshDeclined: {
		name: 'egretspoke_mesh_declined_ratio',
		type: 'gauge',
		labels: [],
		help: 'Share of recent offers that the target beside this node declined, within the last second.',
		reading:
			'0 under normal load. Above 0.1 at all targets of a service: requests that make several calls there are refused at the entries.',
	},
	meshCompletionLevel: {
		name: 'egretspoke_mesh_completion_level',
		type: 'gauge',
		labels: [],
		help: 'Maximum share of the calls to a service that the allowed repeats cannot complete, over all services; as of the last request at this entry.',
		reading:
			'Above 0: requests that make calls to a declining service are refused here by this level, see event 2520.',
	},
	meshLostCapacityLevel: {
		name: 'egretspoke_mesh_lost_capacity_level',
		type: 'gauge',
		labels: [],
		help: 'Maximum share of the demand for a service that its remaining targets cannot take, over all services; as of the last request at this entry.',
		reading:
			'Above 0: a service has lost targets, see event 2521; more targets lower it at once.',
	},
	meshHeldLevel: {
		name: 'egretspoke_mesh_held_level',
		type: 'gauge',
		labels: [],
		help: 'Maximum share of the requests that make calls at a service that is refused because they hold its slots while they wait, over all services; as of the last request at this entry.',
		reading:
			'Above 0: a service below is slow, see event 2522; other requests of the full service are still admitted.',
	},
	meshWorkspacesAboveShare: {
		name: 'egretspoke_mesh_workspaces_above_share',
		type: 'gauge',
		labels: [],
		help: 'Workspaces whose requests this node refuses because their demand on a full service exceeds their fair share.',
		reading:
			'0 while no service is full. Above 0: these workspaces are refused instead of the others. 0 on one node only, with `egretspoke_mesh_shed_level` above 0: it reaches no allocator and refuses all workspaces alike.',
	},
	meshRateLimit: {
		name: 'egretspoke_mesh_target_rate_limit',
		type: 'gauge',
		labels: [],
		help: 'Requests per second that the target beside this node accepts from all nodes together, as its answers state; -1 without a limit.',
		reading:
			'A limit: the target is in need, and the other targets of its service take the rest. The rate of `egretspoke_mesh_target_duration_seconds_count` stays below it.',
	},
	meshHeldBytes: {
		name: 'egretspoke_mesh_held_bytes',
		type: 'gauge',
		labels: ['kind'],
		help: 'Bytes of bodies and messages that this node holds, by kind: `smallBodies` and `largeBodies` of requests, whole `responses` that callers and `answers` that other nodes have not read, `streams` of large ones, `frames` for other nodes, and what open `connections` take beside bodies (estimated).',
		reading:
			'Each kind has a share of the memory. `largeBodies` near its share for long: callers send more than the VM can hold, and uploads wait. `responses`: callers read slowly. `answers`, `frames`: a peer does. `connections` near 16 % of the memory: clients exceed the limits of docs/design/connection-limits.md, and those that hold most are closed (`limit` in event 2540).',
	},
	meshMembers: {
		name: 'egretspoke_mesh_members',
		type: 'gauge',
		labels: [],
		help: 'Nodes that this one knows, itself included.',
		reading: 'Nodes that are gone for good stay until their rows are removed.',
	},
	meshStoreFailures: {
		name: 'egretspoke_mesh_store_failures_total',
		type: 'counter',
		labels: ['call'],
		help: 'Calls of the store without a result.',
		reading: 'Rises on all nodes: the store is down; on one: it is cut off.',
	},
} as const satisfies Record<string, MetricDefinition>;
