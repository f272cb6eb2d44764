/**
 * Messages between nodes, and their encoding. A frame carries all messages of one
 * turn of the event loop, so that many small messages cost one system call.
 */
import {type Buffer} from 'node:buffer';
import {suspectTupleSchema} from '@egretspoke/quarantine';
import {isAllocationBounded, remoteAddressSchema} from '@egretspoke/shared';
import {Packr, RESERVE_START_SPACE} from 'msgpackr';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {
	routingConfigurationSchema,
	type RoutingConfiguration,
} from '../configuration/route.js';
import {
	amountSchema,
	describeIssue,
	instantSchema,
	nameSchema,
	placeSchema,
	reportedSchema,
	slotsSchema,
	versionSchema,
} from '../field-schemas.js';
import {fromCompact} from './compact-decoder.js';
import {toCompact, isCompact, type CompactMessage} from './compact-message.js';

/** Identity and address of a node, as other nodes need them to link to it. */
export const memberSchema = z.object({
	node: nameSchema,
	/** Address of its peer listener, `ip:port`. */
	address: remoteAddressSchema,
	dataCentre: placeSchema,
	/** The service of its target. */
	service: placeSchema,
	/** Start time of the node process, in milliseconds since 1970; a later start replaces an earlier one. */
	startedAt: instantSchema,
});

/** State of a node's target, as the node reports it. */
export const targetStateSchema = z.object({
	service: placeSchema,
	targetId: nameSchema,
	startedAt: instantSchema,
	sequence: versionSchema,
	isLeaving: z.boolean(),
	isReachable: z.boolean(),
	slots: slotsSchema,
});

const loadSchema = z.object({
	occupancy: reportedSchema,
	shedLevel: reportedSchema,
	failureShare: reportedSchema,
	runTime: amountSchema,
	declined: reportedSchema.default(0),
	declineLevel: reportedSchema.default(0),
	demand: reportedSchema.default(0),
	heldLevel: reportedSchema.default(0),
	rate: z
		.object({
			/** May be infinite, which `z.number` rejects. */
			limit: z.custom<number>(
				(value) => typeof value === 'number' && value >= 0,
			),
			occupancy: reportedSchema,
		})
		.optional(),
});

export type Member = z.output<typeof memberSchema>;
export type TargetState = z.output<typeof targetStateSchema>;

/** The first message that each side sends. */
export const helloSchema = z.object({
	kind: z.literal('hello'),
	member: memberSchema,
	configurationVersion: versionSchema,
});

/** Members that were new to the sender; see `member-gossip.ts`. */
export const membersSchema = z.object({
	kind: z.literal('members'),
	members: z.array(memberSchema),
});

const routeProfileSchema = z.object({
	route: z.string(),
	runTime: amountSchema,
	calls: z.array(z.object({route: z.string(), count: amountSchema})),
	isLeaf: z.boolean(),
});

/** State of a node and its target; sent after the hello and on each change. */
export const stateSchema = z.object({
	kind: z.literal('state'),
	isStopping: z.boolean(),
	/** Whether the node follows the configuration feed; see `feed-followers.ts`. */
	isFollowing: z.boolean(),
	/** Undefined while no target is known. */
	target: targetStateSchema.nullish(),
	load: loadSchema,
	/** The service of the sender's target. */
	service: z.string(),
	/** Routes that were requested at the sender; see `inner-routes.ts`. */
	routes: z.array(z.string()),
});

/**
 * Run times and calls of requests at the sender's target; see `call-profile.ts`.
 * Separate from the state, which may change many times a second while a target
 * is intermittently reachable and would be several times as long with profiles.
 */
export const profilesSchema = z.object({
	kind: z.literal('profiles'),
	service: z.string(),
	profiles: z.array(routeProfileSchema),
});

/** Rates of workspaces' requests that the sender admits; see `quota-exchange.ts`. */
export const quotaUseSchema = z.object({
	kind: z.literal('quotaUse'),
	node: z.string(),
	/** Present if the rates are totals of a data centre. */
	dataCentre: z.string().optional(),
	/** Whether the sender uses the grants of the receiver. */
	wantsGrant: z.boolean(),
	/** Workspace, requests per second, admitted requests per second, and the rate reserved for nodes that do not reach the sender. */
	uses: z.array(
		z.tuple([z.string(), reportedSchema, reportedSchema, reportedSchema]),
	),
});

/** Quota shares that the sender grants. */
export const quotaGrantSchema = z.object({
	kind: z.literal('quotaGrant'),
	/** Workspace, requests per second over all nodes, and the share of them that may be admitted. */
	grants: z.array(z.tuple([z.string(), reportedSchema, reportedSchema])),
});

/** Service, priority, shed level, demand of all workspaces, the part that the shed level refuses, and the demand of the named workspaces; in milliseconds of slots per second. */
const fairLoadsSchema = z.array(
	z.tuple([
		z.string(),
		reportedSchema,
		z.number().min(0).max(1),
		amountSchema,
		amountSchema,
		z.array(z.tuple([z.string(), amountSchema])),
	]),
);

/** Demand of workspaces on full services at the sender or in its data centre; see `fair-share-exchange.ts`. */
export const fairDemandSchema = z.object({
	kind: z.literal('fairDemand'),
	node: z.string(),
	/** Present if the loads are sums over a data centre. */
	dataCentre: z.string().optional(),
	loads: fairLoadsSchema,
});

/** Sums of that demand over all nodes. */
export const fairTotalsSchema = z.object({
	kind: z.literal('fairTotals'),
	loads: fairLoadsSchema,
});

/** Requests under which targets crashed and which the receiver may not have recorded. */
export const suspectsSchema = z.object({
	kind: z.literal('suspects'),
	suspects: z.array(suspectTupleSchema),
});

/** What the sender knows of the receiver's target from earlier answers; see `target-memory.ts`. */
export const targetMemorySchema = z.object({
	kind: z.literal('targetMemory'),
	targetId: nameSchema,
	startedAt: instantSchema,
	/** Requests per second that the target accepts; absent without a known limit. */
	rateLimit: z.number().nonnegative().optional(),
	isLeaving: z.boolean(),
});

/**
 * The last message of a stopping node on a link. Requests without an outcome
 * that it doesn't list have not run and never will.
 */
export const closingSchema = z.object({
	kind: z.literal('closing'),
	/** The exchanges of the requests that are still running. */
	running: z.array(z.number().int()),
});

const configurationSchema = z.object({
	kind: z.literal('configuration'),
	configuration: routingConfigurationSchema,
});

export type HelloMessage = z.output<typeof helloSchema>;
export type MembersMessage = z.output<typeof membersSchema>;
export type StateMessage = z.output<typeof stateSchema>;
export type ProfilesMessage = z.output<typeof profilesSchema>;
export type QuotaUseMessage = z.output<typeof quotaUseSchema>;
export type QuotaGrantMessage = z.output<typeof quotaGrantSchema>;
export type FairDemandMessage = z.output<typeof fairDemandSchema>;
export type FairTotalsMessage = z.output<typeof fairTotalsSchema>;
export type SuspectsMessage = z.output<typeof suspectsSchema>;
export type TargetMemoryMessage = z.output<typeof targetMemorySchema>;
export type ClosingMessage = z.output<typeof closingSchema>;

/** Any message on a link. */
export type PeerMessage =
	| HelloMessage
	| MembersMessage
	| StateMessage
	| ProfilesMessage
	| QuotaUseMessage
	| QuotaGrantMessage
	| FairDemandMessage
	| FairTotalsMessage
	| SuspectsMessage
	| TargetMemoryMessage
	| ClosingMessage
	| {kind: 'configuration'; configuration: RoutingConfiguration}
	/** Configuration version that the sender has; receivers with an older one request it. */
	| {kind: 'version'; version: number}
	| {kind: 'configurationWanted'}
	| CompactMessage
	| {kind: 'ping'}
	| {kind: 'pong'};

/** The messages that are sent as tables; those that are sent as lists are checked in `compact-decoder.ts`. */
const schemas: ReadonlyMap<string, z.ZodType> = new Map<string, z.ZodType>([
	['hello', helloSchema],
	['members', membersSchema],
	['state', stateSchema],
	['profiles', profilesSchema],
	['quotaUse', quotaUseSchema],
	['quotaGrant', quotaGrantSchema],
	['fairDemand', fairDemandSchema],
	['fairTotals', fairTotalsSchema],
	['suspects', suspectsSchema],
	['targetMemory', targetMemorySchema],
	['closing', closingSchema],
	['configuration', configurationSchema],
	['version', z.object({kind: z.literal('version'), version: versionSchema})],
	['configurationWanted', z.object({kind: z.literal('configurationWanted')})],
	['ping', z.object({kind: z.literal('ping')})],
	['pong', z.object({kind: z.literal('pong')})],
]);

/** Messages with entries of several origins: an entry that is malformed is skipped, and the others hold. */
const entrySchemas: ReadonlyMap<string, z.ZodType> = new Map<string, z.ZodType>(
	[
		['members', memberSchema],
		['suspects', suspectTupleSchema],
	],
);

const packr = new Packr({useRecords: false});

/** The messages of one event loop turn, and when they were sent, in milliseconds of the sender's monotonic clock. */
export type Frame = {sentAt: number; messages: PeerMessage[]};

/**
 * Encodes a frame.
 *
 * @param reserved - Number of unused bytes in front of it.
 */
export function encodeFrame(
	{sentAt, messages}: Frame,
	reserved = 0,
): Uint8Array {
	return packr.pack(
		[sentAt, messages.map((message) => toWire(message))],
		RESERVE_START_SPACE + reserved,
	);
}

function toWire(message: PeerMessage): unknown {
	return isCompact(message) ? toCompact(message) : message;
}

/** Called with the reason why an entry or a message was skipped. */
type SkipHandler = (detail: string) => void;

/**
 * Decodes a frame; the error describes what is malformed. Messages of unknown
 * kinds are skipped, because a peer may be of a later version, and so are the
 * malformed ones among entries of several origins.
 */
export function decodeFrame(
	bytes: Uint8Array,
	onSkipped: SkipHandler = () => undefined,
): Result<Frame, string> {
	let value: unknown;
	try {
		if (!isAllocationBounded(bytes)) {
			return err('lists that are longer than the frame');
		}

		value = packr.unpack(bytes);
	} catch (error) {
		return err(
			`not MessagePack: ${error instanceof Error ? error.message : String(error)}`,
		);
	}

	const [sentAt, items] = Array.isArray(value) ? (value as unknown[]) : [];
	if (!isSendTime(sentAt) || !Array.isArray(items)) {
		return err('expected a time and a list of messages');
	}

	const messages: PeerMessage[] = [];
	for (const item of items as unknown[]) {
		const message = fromWire(item, onSkipped);
		if (typeof message === 'string') {
			return err(message);
		}

		if (message) {
			messages.push(message);
		}
	}

	return ok({sentAt, messages});
}

function isSendTime(value: unknown): value is number {
	return (
		typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER
	);
}

/** Decodes a message; returns a description if it is malformed, and undefined if its kind is unknown. */
function fromWire(
	item: unknown,
	onSkipped: SkipHandler,
): PeerMessage | string | undefined {
	if (Array.isArray(item)) {
		return fromCompact(item) ?? 'malformed list';
	}

	if (typeof item !== 'object' || item === null || !('kind' in item)) {
		return 'a message has no kind';
	}

	const {kind} = item;
	const schema = typeof kind === 'string' ? schemas.get(kind) : undefined;
	if (typeof kind !== 'string' || !schema) {
		onSkipped('a message of an unknown kind');
		return undefined;
	}

	const checked = schema.safeParse(withoutOddEntries(item, kind, onSkipped));
	// Only what the schema names is passed on: encoding a table that is nested deep would throw.
	return checked.success
		? (checked.data as PeerMessage)
		: `malformed ${kind}: ${describeIssue(checked.error)}`;
}

/** Removes the entries of a list that are malformed. */
function withoutOddEntries(
	item: Record<string, unknown>,
	kind: string,
	onSkipped: SkipHandler,
): Record<string, unknown> {
	const schema = entrySchemas.get(kind);
	const entries = item[kind];
	if (!schema || !Array.isArray(entries)) {
		return item;
	}

	return {
		...item,
		[kind]: (entries as unknown[]).filter((entry) => {
			const checked = schema.safeParse(entry);
			if (!checked.success) {
				onSkipped(`an entry of ${kind}: ${describeIssue(checked.error)}`);
			}

			return checked.success;
		}),
	};
}
