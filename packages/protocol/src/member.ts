/** The announcement of a node and its local target. */
import {z} from 'zod';

/** The states of a member, as recorded by one node. */
export const memberStates = [
	'joining',
	'active',
	'suspect',
	'leaving',
	'gone',
] as const;

export const targetAnnouncementSchema = z.object({
	service: z.string().min(1),
	/** Maximum number of concurrent requests at the target. */
	slots: z.number().int().positive(),
	/** Maximum number of connections that the target accepts. */
	connections: z.number().int().positive(),
});

/** The announcement of a target to its local node. */
export type TargetAnnouncement = z.infer<typeof targetAnnouncementSchema>;

export const memberSchema = z.object({
	node: z.string().min(1),
	/** Incremented at every start and after every pause longer than the lease. */
	incarnation: z.number().int().nonnegative(),
	/** Incremented with every announcement within an incarnation. */
	heartbeat: z.number().int().nonnegative(),
	region: z.string(),
	dataCentre: z.string(),
	/** `ip:port` of the peer listener. */
	peerAddress: z.string(),
	/** `ip:port` of the caller listener. */
	callerAddress: z.string(),
	state: z.enum(memberStates),
	target: targetAnnouncementSchema.optional(),
	/** The configuration version in force at the node. */
	configurationVersion: z.number().int().nonnegative(),
});

/** A node as recorded by another node. */
export type Member = z.infer<typeof memberSchema>;

/** The home of a key: one incarnation of a node. */
export type Home = {node: string; incarnation: number};

/** Formats a home as `<node>@<incarnation>`. */
export function formatHome(home: Home): string {
	return `${home.node}@${home.incarnation}`;
}

/** Parses `<node>@<incarnation>`; undefined when the text has another form. */
export function parseHome(text: string): Home | undefined {
	const match = /^(?<node>[^@\s]+)@(?<incarnation>\d{1,16})$/u.exec(text);
	return match?.groups
		? {
				node: match.groups.node!,
				incarnation: Number(match.groups.incarnation),
			}
		: undefined;
}
