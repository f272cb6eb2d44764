/**
 * The two deployments of today: their services, targets, slots, connections,
 * data centres and one-way delays, and the operations that their users ask
 * for. The sizes are the brief's; the service times and the mix of operations
 * are assumptions, stated here and in docs/EXPERIMENT.md.
 */
import type {RequestClass} from '@egretspoke/protocol';

/** The part that a service plays in the call graph, the same in both deployments. */
export const serviceRoles = ['front', 'middle', 'side', 'deep'] as const;
export type ServiceRole = (typeof serviceRoles)[number];

/** The size of one service. */
export type ServiceSize = {
	name: string;
	targets: number;
	/** Requests that one target runs at once. */
	slots: number;
	/** Connections that one target accepts. */
	connections: number;
};

/** One call in the plan of an operation, with the calls that it makes in parallel. */
export type CallPlan = {
	role: ServiceRole;
	/** Its name at that service; not the name of what the user asked for. */
	operation: string;
	/** Milliseconds of work before the deeper calls, on average; all there is in a leaf. */
	before: number;
	/** Milliseconds of work after the deeper calls. */
	after: number;
	downstreamCalls: CallPlan[];
};

/** What a user can ask for. Each operation needs exactly one call to the deepest service. */
export type Operation = {
	requestClass: RequestClass;
	idempotent: boolean;
	/** Its share of the demand. */
	share: number;
	/** Milliseconds after which whoever waits for a try of it gives that try up. */
	tryTimeout: number;
	plan: CallPlan;
};

/** The names under which a deployment can be asked for. */
export const deploymentNames = ['fieldline', 'akwaaba'] as const;
export type DeploymentName = (typeof deploymentNames)[number];

export type Deployment = {
	name: DeploymentName;
	dataCentres: number;
	/** One-way milliseconds between two data centres. */
	interDataCentreDelay: number;
	/** One-way milliseconds between a client and any node. */
	clientDelay: number;
	services: Record<ServiceRole, ServiceSize>;
};

/** One-way milliseconds between two VMs of one data centre (assumed). */
export const intraDataCentreDelay = 0.1;

/** Milliseconds that a new connection costs. */
export const connectionCost = 1;

/** Mean milliseconds of the deepest service's work (assumed). */
export const meanDeepWork = 100;

/** How much longer than an ordinary one a long operation keeps the deepest service. */
export const longFactor = 8;

export const deployments: Record<DeploymentName, Deployment> = {
	fieldline: {
		name: 'fieldline',
		dataCentres: 3,
		interDataCentreDelay: 1,
		clientDelay: 8,
		services: {
			front: size('shift-booking', 4, 140, 950),
			middle: size('roster-board', 5, 110, 800),
			side: size('questionnaire-intake', 3, 190, 1200),
			deep: size('dispatch', 3, 20, 200),
		},
	},
	akwaaba: {
		name: 'akwaaba',
		dataCentres: 3,
		interDataCentreDelay: 0.5,
		clientDelay: 1,
		services: {
			front: size('orders-and-payments', 4, 100, 680),
			middle: size('mending-history', 5, 80, 570),
			side: size('photo-storage', 3, 130, 880),
			deep: size('loft-queues', 3, 30, 280),
		},
	},
};

const deep: CallPlan = {
	role: 'deep',
	operation: 'GET /lookup',
	before: meanDeepWork,
	after: 0,
	downstreamCalls: [],
};
const middle: CallPlan = {
	role: 'middle',
	operation: 'GET /board',
	before: 8,
	after: 4,
	downstreamCalls: [deep],
};
const side: CallPlan = {
	role: 'side',
	operation: 'GET /picture',
	before: 20,
	after: 0,
	downstreamCalls: [],
};

/** Milliseconds that a client waits for the answer to a try of an ordinary operation. */
const ordinaryTimeout = 1000;

/** The ordinary mix. */
export const operations: Operation[] = [
	{
		requestClass: 'essential',
		idempotent: false,
		share: 0.15,
		tryTimeout: ordinaryTimeout,
		plan: {
			role: 'front',
			operation: 'POST /bookings',
			before: 4,
			after: 2,
			downstreamCalls: [middle],
		},
	},
	{
		requestClass: 'essential',
		idempotent: true,
		share: 0.15,
		tryTimeout: ordinaryTimeout,
		plan: {
			role: 'side',
			operation: 'PUT /uploads',
			before: 20,
			after: 4,
			downstreamCalls: [middle],
		},
	},
	{
		requestClass: 'normal',
		idempotent: true,
		share: 0.25,
		tryTimeout: ordinaryTimeout,
		plan: {
			role: 'front',
			operation: 'GET /orders',
			before: 4,
			after: 2,
			downstreamCalls: [middle, side],
		},
	},
	{
		requestClass: 'normal',
		idempotent: true,
		share: 0.25,
		tryTimeout: ordinaryTimeout,
		plan: middle,
	},
	{
		requestClass: 'deferrable',
		idempotent: true,
		share: 0.2,
		tryTimeout: ordinaryTimeout,
		plan: {
			role: 'front',
			operation: 'GET /reports',
			before: 4,
			after: 2,
			downstreamCalls: [middle],
		},
	},
];

const longDeep: CallPlan = {
	...deep,
	operation: 'GET /all',
	before: meanDeepWork * longFactor,
};

/** Long work: the same chain, with a deepest call that takes `longFactor` times as long. */
export const longOperation: Operation = {
	requestClass: 'deferrable',
	idempotent: true,
	share: 0,
	tryTimeout: 5 * ordinaryTimeout,
	plan: {
		role: 'front',
		operation: 'GET /archive',
		before: 4,
		after: 2,
		downstreamCalls: [
			{...middle, operation: 'GET /season', downstreamCalls: [longDeep]},
		],
	},
};

/** Requests a second that the deepest service can run when it is healthy. */
export function capacityOf({services}: Deployment): number {
	const {targets, slots} = services.deep;
	return (targets * slots * 1000) / meanDeepWork;
}

function size(
	name: string,
	targets: number,
	slots: number,
	connections: number,
): ServiceSize {
	return {name, targets, slots, connections};
}
