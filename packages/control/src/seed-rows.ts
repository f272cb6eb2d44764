/**
 * The rows by which a node that starts finds the first others. A row is
 * written on joining, refreshed rarely and removed on leaving; who is there
 * now is for membership to find out, so an old row does no harm.
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
	/** Milliseconds since 1970, by the writer's wall clock. */
	refreshedAt: z.number(),
});

/** The rows of this node and the others'. */
export type SeedRows = {
	/** Peer addresses of the others; empty when the platform can't be read. */
	list(): Promise<string[]>;
	/** Writes the own row soon, and again at each refresh, until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
	/** Takes the own row back. */
	remove(): Promise<void>;
};

/** Milliseconds within which nodes that start together spread their writes. */
const maxStartDelay = 2000;

/** At 570 nodes, a refresh every 30 minutes is 0.3 writes a second. */
const refreshInterval = 1_800_000;

/** Rows of nodes that ended without removing them are cleared after this. */
const staleAge = 4 * refreshInterval;

const initialRetryDelay = 5000;
const maxRetryDelay = 60_000;

/** Creates the seed rows of one node. */
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
				if (!seed.success || now - seed.data.refreshedAt > staleAge) {
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
