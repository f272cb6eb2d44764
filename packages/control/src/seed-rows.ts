/**
 * Rows in the platform's table by which a starting node finds others. A node
 * writes its row when it joins, refreshes it rarely and removes it when it leaves.
 * Membership determines which nodes are alive, so an outdated row does no harm.
 */
import type {Member} from '@egretspoke/protocol';
import type {Platform} from '@egretspoke/storage';
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import {z} from 'zod';

const seedPrefix = 'member/';

const seedSchema = z.object({
	node: z.string(),
	peerAddress: z.string(),
	dataCentre: z.string(),
	/** The time of the last write, in milliseconds since 1970 by the writer's wall clock. */
	refreshedAt: z.number(),
});

/** Access to the seed rows of all nodes. */
export type SeedRows = {
	/** Returns the peer addresses of the other nodes; empty when the platform is unreachable. Deletes stale and malformed rows. */
	list(): Promise<string[]>;
	/** Writes the own row after a random delay and refreshes it until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
	/** Removes the own row. */
	remove(): Promise<void>;
};

/** Maximum random delay of the first write in milliseconds, so that nodes that start together do not write at once. */
const maxStartDelay = 2000;

/** Milliseconds between refreshes. With 570 nodes, 30 minutes make 0.3 writes per second. */
const refreshInterval = 1_800_000;

/** Age in milliseconds after which a row counts as left behind by a node that ended, and is deleted. */
const staleRowAge = 4 * refreshInterval;

/** Backoff after a failed write, in milliseconds. */
const initialRetryDelay = 5000;
const maxRetryDelay = 60_000;

/** Creates the access of one node to the seed rows. */
export function createSeedRows(options: {
	platform: Platform;
	clock: Clock;
	random: Random;
	self: () => Member;
}): SeedRows {
	const {platform, clock, random, self} = options;
	let rowVersion: number | undefined;

	const write = async (): Promise<boolean> => {
		const {node, peerAddress, dataCentre} = self();
		const refreshedAt = clock.date().getTime();
		const value = JSON.stringify({node, peerAddress, dataCentre, refreshedAt});
		const key = `${seedPrefix}${dataCentre}/${node}`;
		const rows = await platform.table.transact([{kind: 'put', key, value}]);
		rowVersion = rows.isOk() ? rows.value[0]?.version : rowVersion;
		return rows.isOk();
	};

	return {
		async list() {
			const rows = await platform.table.list(seedPrefix);
			const now = clock.date().getTime();
			const addresses: string[] = [];
			for (const {key, version, value} of rows.unwrapOr([])) {
				const seed = seedSchema.safeParse(parseJson(value));
				if (!seed.success || now - seed.data.refreshedAt > staleRowAge) {
					void platform.table.transact([
						{kind: 'delete', key, ifVersion: version},
					]);
				} else if (seed.data.node !== self().node) {
					addresses.push(seed.data.peerAddress);
				}
			}

			return addresses;
		},
		async run(signal) {
			await sleep(clock, maxStartDelay * random.fraction(), signal);
			let retryDelay = initialRetryDelay;
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop -- one write after another.
				const isWritten = await write();
				const wait = isWritten ? refreshInterval : retryDelay;
				retryDelay = isWritten
					? initialRetryDelay
					: Math.min(maxRetryDelay, retryDelay * 2);
				// eslint-disable-next-line no-await-in-loop -- one write after another.
				await sleep(clock, wait * (0.8 + 0.4 * random.fraction()), signal);
			}
		},
		async remove() {
			if (rowVersion === undefined) {
				return;
			}

			const {node, dataCentre} = self();
			const key = `${seedPrefix}${dataCentre}/${node}`;
			await platform.table.transact([
				{kind: 'delete', key, ifVersion: rowVersion},
			]);
			rowVersion = undefined;
		},
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
