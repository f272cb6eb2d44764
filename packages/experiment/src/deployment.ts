/**
 * The two simulated deployments: services, targets, slots, connections, data
 * centres and one-way delays, and the operations that users request. The sizes
 * come from the brief; the service times and the mix of operations are
 * assumptions, stated here and in docs/EXPERIMENT.md.
 */
import type {RequestClass} from '@egretspoke/protocol';

/** Position of a service in the call graph, the same in both deployments. */
export const serviceRoles = ['front', 'middle', 'side', 'deep'] as const;
export type ServiceRole = (typeof serviceRoles)[number];

/** The size of one service. */
export type ServiceSize = {
	name: string;
	targets: number;
	/** Requests that one target runs concurrently. */
	slots: number;
	/** Connections that one target accepts. */
	connections: number;
};

/** One call in the plan of an operation, with its parallel downstream calls. */
export type CallPlan = {
	role: ServiceRole;
	/** Operation name at that service; differs from the name of the user's operation. */
	operation: string;
	/** Mean milliseconds of work before the downstream calls; all the work of a leaf. */
	before: number;
	/** Mean milliseconds of work after the downstream calls. */
	after: number;
	downstreamCalls: CallPlan[];
};

/** An operation that users request. Each needs exactly one call to the deepest service. */
export type Operation = {
	requestClass: RequestClass;
	idempotent: boolean;
	/** Fraction of the demand. */
	share: number;
	/** Timeout of one try in milliseconds. */
	tryTimeout: number;
	plan: CallPlan;
};

/** Values of `--deployment`. */
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

/** Milliseconds that it takes to open a connection. */
export const connectionCost = 1;

/** Mean milliseconds of work per request at the deepest service (assumed). */
export const meanDeepWork = 100;

/** Work of a long operation at the deepest service, relative to an ordinary one. */
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

/** Client timeout of one try of an ordinary operation, in milliseconds. */
const ordinaryTimeout = 1000;

/** The mix of ordinary operations. */
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

/** A long operation: the same chain, with a deepest call that takes `longFactor` times as long. */
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

/** Capacity of the healthy deepest service in requests per second. */
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
