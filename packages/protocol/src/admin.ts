/**
 * The API between the operator program and a node's admin listener: HTTP with
 * JSON, and the secret of the settings as bearer token.
 *
 * | request | answers |
 * | --- | --- |
 * | `POST /v1/plans` | 200 `Plan`, 422 `FindingsAnswer`, 503 `UnavailableAnswer` |
 * | `POST /v1/plans/<id>/confirm` | 200, 409 or 503 `ConfirmAnswer`, 404 |
 * | `GET /v1/status` | 200 `NodeStatus` |
 * | `GET /v1/targets` | 200 `TargetRow[]` |
 * | `GET /v1/explain/<request>` | 200 `Explanation`, 404 |
 * | `POST /v1/leave` | 202: the node's target receives no new requests from now on |
 * | `GET /metrics` | 200, Prometheus text |
 */
import {z} from 'zod';
import {memberStates} from './member.js';

export const planRequestSchema = z.object({
	author: z.string().min(1),
	/** The name of the operator's file, for the locations of findings. */
	file: z.string(),
	/** The intent document, YAML or JSON. */
	document: z.string(),
});

export const planChangeSchema = z.object({
	service: z.string(),
	path: z.string(),
	before: z.string().optional(),
	after: z.string().optional(),
	/** The effect of the change on requests, in one sentence. */
	effect: z.string(),
});

export const planSchema = z.object({
	id: z.string(),
	author: z.string(),
	/** The accepted version that the plan is based on. */
	baseVersion: z.number().int().nonnegative(),
	createdAt: z.string(),
	changes: z.array(planChangeSchema),
	warnings: z.array(z.string()),
});

export const confirmAnswerSchema = z.discriminatedUnion('result', [
	z.object({
		result: z.literal('accepted'),
		plan: z.string(),
		version: z.number().int(),
		/** True when this plan had been accepted before. */
		repeated: z.boolean(),
	}),
	z.object({
		result: z.literal('conflict'),
		plan: z.string(),
		baseVersion: z.number().int(),
		currentVersion: z.number().int(),
		byPlan: z.string(),
		byAuthor: z.string(),
	}),
	z.object({
		/** Nothing was written. */
		result: z.literal('unavailable'),
		plan: z.string(),
		detail: z.string(),
	}),
	z.object({
		/** It may have been accepted; `settle` is the command that finds out. */
		result: z.literal('unknown'),
		plan: z.string(),
		detail: z.string(),
		settle: z.string(),
	}),
]);

export const placedFindingSchema = z.object({
	place: z
		.object({file: z.string(), line: z.number(), column: z.number()})
		.optional(),
	path: z.string(),
	message: z.string(),
	advice: z.string().optional(),
});

export const findingsAnswerSchema = z.object({
	findings: z.array(placedFindingSchema),
});

export const nodeStatusSchema = z.object({
	node: z.string(),
	incarnation: z.number(),
	dataCentre: z.string(),
	state: z.enum(memberStates),
	uptimeSeconds: z.number(),
	configuration: z.object({
		version: z.number(),
		checksum: z.string(),
		/** `defaults` means that no accepted version has been received so far. */
		source: z.enum(['defaults', 'platform', 'peer']),
	}),
	platform: z.enum(['reachable', 'unreachable', 'unknown']),
	/** The version in force at each known node, and the age of its last report. */
	inForce: z.array(
		z.object({
			node: z.string(),
			dataCentre: z.string(),
			version: z.number(),
			state: z.enum(memberStates),
			heardSecondsAgo: z.number(),
		}),
	),
	/** Parts of the node that failed and are being restarted; absent when all run. */
	failing: z
		.array(
			z.object({path: z.string(), failures: z.number(), detail: z.string()}),
		)
		.optional(),
	load: z
		.object({
			inFlight: z.number(),
			limit: z.number(),
			waiting: z.number(),
			level: z.number(),
		})
		.optional(),
});

export const targetRowSchema = z.object({
	service: z.string(),
	node: z.string(),
	dataCentre: z.string(),
	state: z.enum(memberStates),
	slots: z.number(),
	connections: z.number(),
	callerAddress: z.string(),
	configurationVersion: z.number(),
	heardSecondsAgo: z.number(),
});

export const explanationSchema = z.object({
	request: z.string(),
	node: z.string(),
	decisions: z.array(
		z.object({
			at: z.string(),
			event: z.number().int(),
			name: z.string(),
			reason: z.string(),
			details: z.record(z.string(), z.union([z.string(), z.number()])),
		}),
	),
});

export type PlanRequest = z.infer<typeof planRequestSchema>;
export type PlanChange = z.infer<typeof planChangeSchema>;
export type Plan = z.infer<typeof planSchema>;
export type ConfirmAnswer = z.infer<typeof confirmAnswerSchema>;
export type FindingsAnswer = z.infer<typeof findingsAnswerSchema>;
export type NodeStatus = z.infer<typeof nodeStatusSchema>;
export type TargetRow = z.infer<typeof targetRowSchema>;
export type Explanation = z.infer<typeof explanationSchema>;
