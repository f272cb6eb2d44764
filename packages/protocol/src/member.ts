/** What a node says of itself and of the target beside it. */
import {z} from 'zod';

/** The states of a member, as seen by one node. */
export const memberStates = [
	'joining',
	'active',
	'suspect',
	'leaving',
	'gone',
] as const;

export const targetAnnouncementSchema = z.object({
	service: z.string().min(1),
	/** Requests that the target can run at once. */
	slots: z.number().int().positive(),
	/** Connections that the target accepts. */
	connections: z.number().int().positive(),
});

/** What a target announces to the node beside it. */
export type TargetAnnouncement = z.infer<typeof targetAnnouncementSchema>;

export const memberSchema = z.object({
	node: z.string().min(1),
	/** Grows with every start and after every pause longer than the lease. */
	incarnation: z.number().int().nonnegative(),
	/** Grows with every announcement within an incarnation. */
	heartbeat: z.number().int().nonnegative(),
	region: z.string(),
	dataCentre: z.string(),
	/** `ip:port` of the peer listener. */
	peerAddress: z.string(),
	/** `ip:port` of the caller listener. */
	callerAddress: z.string(),
	state: z.enum(memberStates),
	target: targetAnnouncementSchema.optional(),
	/** The configuration version in force there. */
	configurationVersion: z.number().int().nonnegative(),
});

/** One node as known to another. */
export type Member = z.infer<typeof memberSchema>;

/** The home of a key: a node in one of its incarnations. */
export type Home = {node: string; incarnation: number};

/** `<node>@<incarnation>`. */
export function formatHome(home: Home): string {
	return `${home.node}@${home.incarnation}`;
}

/** Reads `<node>@<incarnation>`; undefined when it isn't one. */
export function parseHome(text: string): Home | undefined {
	const match = /^(?<node>[^@\s]+)@(?<incarnation>\d{1,16})$/u.exec(text);
	return match?.groups
		? {
				node: match.groups.node!,
				incarnation: Number(match.groups.incarnation),
			}
		: undefined;
}
