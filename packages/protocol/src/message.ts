/**
 * The messages between nodes. Each WebSocket message carries one of them, encoded
 * by msgpackr. A sender may add fields that a receiver ignores; a change of
 * meaning requires a new protocol version.
 */
import {suspectTupleSchema} from '@egretspoke/quarantine';
import {z} from 'zod';
import {loadReportSchema} from './load-report.js';
import {memberSchema} from './member.js';
import {requestClassSchema} from './request-class.js';

/** Nodes with different versions refuse connections to each other with a typed error. */
export const protocolVersion = 1;

const identifier = z.string().min(1).max(200);
const bytes = z.custom<Uint8Array>(
	(value) => value instanceof Uint8Array,
	'expected bytes',
);
const headers = z.record(z.string(), z.string());

/** The first message of each side. */
export const helloSchema = z.object({
	type: z.literal('hello'),
	version: z.number().int(),
	node: identifier,
	incarnation: z.number().int().nonnegative(),
	dataCentre: z.string(),
	/** Random bytes that the other side must sign, in hexadecimal. */
	challenge: z.string(),
});

/** The answer to the other side's challenge: HMAC-SHA-256 with the shared secret. */
export const proofSchema = z.object({
	type: z.literal('proof'),
	signature: z.string(),
});

/** A request from the entry node to the target's node. */
export const callRequestSchema = z.object({
	/** The id of the request along the whole call chain. */
	id: identifier,
	service: identifier,
	method: z.string(),
	path: z.string(),
	headers,
	body: bytes,
	requestClass: requestClassSchema,
	caller: z.string(),
	/** Milliseconds left when it was sent. */
	timeLeft: z.number(),
	/** Attempts left for the chain from this call downwards, including this one. */
	attempts: z.number().int().nonnegative(),
	idempotent: z.boolean(),
	/** The priority number assigned by the first admission of the chain. */
	priority: z.number().optional(),
	key: z.string().optional(),
	/** When the key expires, in milliseconds since 1970. */
	keyExpiry: z.number().optional(),
});

export const callSchema = z.object({
	type: z.literal('call'),
	exchange: z.number().int().nonnegative(),
	request: callRequestSchema,
	/** `pass` goes to the home's ledger, `run` to the admission of the target. */
	role: z.enum(['run', 'pass']),
	home: z.string().optional(),
});

const refusalSchema = z.object({
	code: z.number().int(),
	detail: z.string(),
	retryAfter: z.number().optional(),
});

/** Ends an exchange. `length` detects a truncated body. */
export const answerSchema = z.object({
	type: z.literal('answer'),
	exchange: z.number().int().nonnegative(),
	kind: z.enum(['answered', 'notRun', 'unknown']),
	status: z.number().int().optional(),
	headers: headers.optional(),
	body: bytes.optional(),
	length: z.number().int().nonnegative(),
	repeated: z.boolean().optional(),
	refusal: refusalSchema.optional(),
	load: loadReportSchema.optional(),
});

/** Cancels an exchange whose caller no longer needs the answer. */
export const cancelSchema = z.object({
	type: z.literal('cancel'),
	exchange: z.number().int().nonnegative(),
});

/** A probe with members and the configuration version in force; answered by an acknowledgement. */
export const probeSchema = z.object({
	type: z.literal('probe'),
	sequence: z.number().int().nonnegative(),
	members: z.array(memberSchema),
	configurationVersion: z.number().int().nonnegative(),
	/** Requests all members that the receiver has recorded. */
	whole: z.boolean().optional(),
});

export const acknowledgementSchema = z.object({
	type: z.literal('acknowledgement'),
	sequence: z.number().int().nonnegative(),
	members: z.array(memberSchema),
	configurationVersion: z.number().int().nonnegative(),
});

/** Requests the accepted configuration when the version of the other side is higher. */
export const configurationRequestSchema = z.object({
	type: z.literal('configurationRequest'),
});

/** The accepted configuration, as the exact text whose checksum the head row contains. */
export const configurationBodySchema = z.object({
	type: z.literal('configurationBody'),
	version: z.number().int().nonnegative(),
	checksum: z.string(),
	text: z.string(),
});

/** Suspects that the receiver may not have recorded yet. */
export const suspectsSchema = z.object({
	type: z.literal('suspects'),
	suspects: z.array(suspectTupleSchema),
});

/** Any message, including those of the handshake. */
export const messageSchema = z.discriminatedUnion('type', [
	helloSchema,
	proofSchema,
	callSchema,
	answerSchema,
	cancelSchema,
	probeSchema,
	acknowledgementSchema,
	configurationRequestSchema,
	configurationBodySchema,
	suspectsSchema,
]);

export type CallRequest = z.infer<typeof callRequestSchema>;
export type CallMessage = z.infer<typeof callSchema>;
export type AnswerMessage = z.infer<typeof answerSchema>;
export type ProbeMessage = z.infer<typeof probeSchema>;
export type AcknowledgementMessage = z.infer<typeof acknowledgementSchema>;
export type ConfigurationBodyMessage = z.infer<typeof configurationBodySchema>;
export type SuspectsMessage = z.infer<typeof suspectsSchema>;
export type Message = z.infer<typeof messageSchema>;
