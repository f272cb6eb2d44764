/**
 * What nodes tell each other over a link. A frame carries all messages of one
 * turn of the event loop, so that many small messages cost one system call.
 */
import {type Buffer} from 'node:buffer';
import {suspectTupleSchema} from '@egretspoke/quarantine';
import {Packr} from 'msgpackr';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {
	fromCompact,
	toCompact,
	isCompact,
	type CompactMessage,
} from './compact-message.js';
import {
	routingConfigurationSchema,
	type RoutingConfiguration,
} from './route.js';

/** A node as others have to know it to reach it. */
export const memberSchema = z.object({
	node: z.string().min(1),
	/** Where its peer listener is, `ip:port`. */
	address: z.string().min(1),
	dataCentre: z.string(),
	/** The service beside which it runs. */
	service: z.string(),
	/** When this start of the node began; a later one replaces an earlier one. */
	startedAt: z.number(),
});

/** What a node says of the target beside it. */
export const targetStateSchema = z.object({
	service: z.string(),
	targetId: z.string(),
	startedAt: z.number(),
	sequence: z.number(),
	isLeaving: z.boolean(),
	isReachable: z.boolean(),
	slots: z.number().positive(),
});

const loadSchema = z.object({
	occupancy: z.number(),
	shedLevel: z.number(),
	failureShare: z.number(),
	runTime: z.number().nonnegative(),
});

export type Member = z.output<typeof memberSchema>;
export type TargetState = z.output<typeof targetStateSchema>;

/** The first message of either side. */
export const helloSchema = z.object({
	kind: z.literal('hello'),
	member: memberSchema,
	configurationVersion: z.number(),
});

/** Members of which the sender has just heard for the first time; see `member-news.ts`. */
export const membersSchema = z.object({
	kind: z.literal('members'),
	members: z.array(memberSchema),
});

const routeProfileSchema = z.object({
	route: z.string(),
	runTime: z.number().nonnegative(),
	calls: z.array(
		z.object({route: z.string(), count: z.number().nonnegative()}),
	),
	isLeaf: z.boolean(),
});

/** How a node and its target are; sent after the hello and on each change. */
export const stateSchema = z.object({
	kind: z.literal('state'),
	isStopping: z.boolean(),
	/** It follows the feed of configurations; see `feed-followers.ts`. */
	isFollowing: z.boolean(),
	/** Undefined while no target is known. */
	target: targetStateSchema.nullish(),
	load: loadSchema,
	/** The service beside which the sender runs. */
	service: z.string(),
	/** The routes that were asked for at the sender; see `inner-routes.ts`. */
	routes: z.array(z.string()),
});

/**
 * What requests cause at the sender's target; see `call-profile.ts`. Apart from
 * the state, which may change many times a second while a target is reached
 * now and then, and would be several times as long with it.
 */
export const profilesSchema = z.object({
	kind: z.literal('profiles'),
	service: z.string(),
	profiles: z.array(routeProfileSchema),
});

/** What the sender lets in of workspaces' requests; see `quota-exchange.ts`. */
export const quotaUseSchema = z.object({
	kind: z.literal('quotaUse'),
	node: z.string(),
	/** Present when it is the sum of a data centre. */
	dataCentre: z.string().optional(),
	/** The sender goes by the grants of the receiver. */
	wantsGrant: z.boolean(),
	/** Workspace, requests a second, what of them was let in, and what nodes may let in that the sender can't hear. */
	uses: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
});

/** What the sender grants. */
export const quotaGrantSchema = z.object({
	kind: z.literal('quotaGrant'),
	/** Workspace, requests a second over all nodes, and the share that may be let in. */
	grants: z.array(z.tuple([z.string(), z.number(), z.number()])),
});

/** Requests under which targets crashed, as far as the receiver may not know. */
export const suspectsSchema = z.object({
	kind: z.literal('suspects'),
	suspects: z.array(suspectTupleSchema),
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
export type SuspectsMessage = z.output<typeof suspectsSchema>;

/** Every message of a link. */
export type PeerMessage =
	| HelloMessage
	| MembersMessage
	| StateMessage
	| ProfilesMessage
	| QuotaUseMessage
	| QuotaGrantMessage
	| SuspectsMessage
	| {kind: 'configuration'; configuration: RoutingConfiguration}
	/** A version that the sender has; one who lacks it asks for it. */
	| {kind: 'version'; version: number}
	| {kind: 'configurationWanted'}
	| CompactMessage
	| {kind: 'ping'}
	| {kind: 'pong'};

/** Messages that are rare and change what a node believes are checked in full. */
const checkedKinds: Record<string, z.ZodType> = {
	hello: helloSchema,
	members: membersSchema,
	state: stateSchema,
	profiles: profilesSchema,
	quotaUse: quotaUseSchema,
	quotaGrant: quotaGrantSchema,
	suspects: suspectsSchema,
	configuration: configurationSchema,
};

const packr = new Packr({useRecords: false});

/** The messages of one turn, and when they were sent by the sender's steady clock, in milliseconds. */
export type Frame = {sentAt: number; messages: PeerMessage[]};

/** One frame of messages. */
export function encodeFrame({sentAt, messages}: Frame): Uint8Array {
	return packr.pack([sentAt, messages.map((message) => toWire(message))]);
}

function toWire(message: PeerMessage): unknown {
	return isCompact(message) ? toCompact(message) : message;
}

/** The messages of a frame, or why it is none. */
export function decodeFrame(bytes: Uint8Array): Result<Frame, string> {
	let value: unknown;
	try {
		value = packr.unpack(bytes);
	} catch (error) {
		return err(
			`not MessagePack: ${error instanceof Error ? error.message : String(error)}`,
		);
	}

	const [sentAt, items] = Array.isArray(value) ? (value as unknown[]) : [];
	if (typeof sentAt !== 'number' || !Array.isArray(items)) {
		return err('expected a time and a list of messages');
	}

	const messages: PeerMessage[] = [];
	for (const item of items as unknown[]) {
		const message = fromWire(item);
		if (typeof message === 'string') {
			return err(message);
		}

		messages.push(message);
	}

	return ok({sentAt, messages});
}

/** The message, or what is wrong with it. */
function fromWire(item: unknown): PeerMessage | string {
	if (Array.isArray(item)) {
		return fromCompact(item) ?? 'malformed list';
	}

	if (typeof item !== 'object' || item === null || !('kind' in item)) {
		return 'a message has no kind';
	}

	const kind = String(item.kind);
	const checked = checkedKinds[kind]?.safeParse(item);
	return checked && !checked.success
		? `malformed ${kind}: ${checked.error.issues[0]?.message ?? ''}`
		: (item as PeerMessage);
}
