/**
 * Schemas of the operators' traffic configuration: routes, their services and
 * the limits for callers. Types are inferred from the schemas.
 */
import {z} from 'zod';
import {workspacesSchema} from '../quotas/workspace.js';

const milliseconds = z.number().positive();

/** A service of a route, with its weight. */
export const weightedServiceSchema = z.object({
	service: z.string().min(1),
	/** Its share of the requests, relative to the other weights of the route. */
	weight: z.number().nonnegative(),
});

/** The handling of requests with one host and path prefix. */
export const routeSchema = z.object({
	name: z.string(),
	host: z.string().min(1),
	/** Starts and ends with a slash. */
	prefix: z.string().startsWith('/').endsWith('/'),
	/** Whether a request may run more than once. */
	isIdempotent: z.boolean(),
	/** Timeout of the final answer to the caller, in milliseconds. */
	timeout: milliseconds,
	/** Target latency in milliseconds, within which an answer has its full value to the caller. */
	objective: milliseconds,
	/** 0 is the highest. */
	priority: z.number().int().nonnegative(),
	/** Maximum number of targets that one request may be sent to. */
	attempts: z.number().int().positive(),
	services: z.array(weightedServiceSchema).min(1),
	/** Whether it accepts requests without a workspace key. */
	isPublic: z.boolean().default(false),
});

/** Limits for callers' requests and idle connections. */
export const callerLimitsSchema = z.object({
	headerBytes: z.number().int().positive(),
	bodyBytes: z.number().int().positive(),
	/** Timeout for receiving a request's headers, in milliseconds. */
	headerTime: milliseconds,
	/** Keep-alive timeout of an idle connection, in milliseconds. */
	idleTime: milliseconds,
});

/** A complete accepted configuration. */
export const routingConfigurationSchema = z.object({
	version: z.number().int().nonnegative(),
	routes: z.array(routeSchema),
	limits: callerLimitsSchema,
	/** If absent, no request needs a key. */
	workspaces: workspacesSchema.optional(),
});

/** Why a stored configuration was not decoded. */
export type ConfigurationFault = {
	/** Its version; undefined if that can't be read either. */
	version: number | undefined;
	/** The first invalid fields. */
	detail: string;
};

export type WeightedService = z.output<typeof weightedServiceSchema>;
export type Route = z.output<typeof routeSchema>;
export type CallerLimits = z.output<typeof callerLimitsSchema>;
export type RoutingConfiguration = z.output<typeof routingConfigurationSchema>;
