/**
 * Workspaces: the keys, quotas and priorities of callers.
 *
 * A request identifies its workspace by a key. Keys are secrets of the callers,
 * so nodes store and send only their digests; a key itself never reaches a
 * target, another node, a log line or a metric.
 */
import {hash} from 'node:crypto';
import {z} from 'zod';

export const workspaceSchema = z.object({
	name: z.string().min(1),
	/** Digests of its keys; see `digestKey`. */
	keyDigests: z.array(z.string().min(1)),
	/** 0 is the highest; takes precedence over the priority of a route. */
	priority: z.number().int().nonnegative(),
	/** Quota in requests per second over all nodes; 0 for no quota. */
	rate: z.number().nonnegative(),
	/** Requests beyond the rate that are allowed in a burst. */
	burst: z.number().nonnegative(),
	/** Its weight in the fair shares of a full service; 1 if absent. */
	weight: z.number().positive().optional(),
});

export type Workspace = z.output<typeof workspaceSchema>;

/** The workspaces of one configuration; names and keys are unique. */
export const workspacesSchema = z
	.array(workspaceSchema)
	.superRefine((workspaces, context) => {
		const names = new Set<string>();
		const digests = new Set<string>();
		for (const [index, {name, keyDigests}] of workspaces.entries()) {
			if (names.has(name)) {
				context.addIssue({
					code: 'custom',
					path: [index, 'name'],
					message: `workspace ${name} is listed twice`,
				});
			}

			names.add(name);
			for (const [position, digest] of keyDigests.entries()) {
				if (digests.has(digest)) {
					context.addIssue({
						code: 'custom',
						path: [index, 'keyDigests', position],
						message: 'the key is held twice',
					});
				}

				digests.add(digest);
			}
		}
	});

/** Length of a digest in characters: 128 bits, too many for a brute-force search. */
const digestLength = 22;

/** Returns the digest of a key. */
export function digestKey(key: string): string {
	return hash('sha256', key, 'base64url').slice(0, digestLength);
}
