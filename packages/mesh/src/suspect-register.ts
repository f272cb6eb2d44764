/**
 * What must outlast the nodes of the requests that crash targets.
 *
 * Each node keeps one row with the suspects that it noted itself, so that a
 * data centre that is cut off from the others, and a fleet that starts anew,
 * know them all the same. A few nodes follow the table and tell the rest.
 */
import {
	memoryTime,
	isQuarantined,
	type RequestIdentity,
	type Suspect,
} from '@egretspoke/quarantine';
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import {z} from 'zod';
import {turnPeriod} from './configuration-follower.js';
import type {MeshReporter} from './mesh-reporter.js';
import {suspectTupleSchema} from './peer-message.js';
import type {RowStore, StoredRow} from './row-store.js';
import {toSuspect, toTuple} from './suspect-tuple.js';
import {followTable} from './table-feed.js';

/** What a row holds: when it was written, in milliseconds since 1970, and what its node noted. */
const rowSchema = z.object({
	at: z.number(),
	suspects: z.array(suspectTupleSchema),
});

/** What a register needs. */
export type SuspectRegisterOptions = {
	store: RowStore;
	/** The key of this node's row. */
	node: string;
	clock: Clock;
	random: Random;
	reporter: MeshReporter;
	/** Whether this node is to follow the table, or leaves it to peers. */
	isFollower: () => boolean;
	/** Suspects that other nodes noted, or an earlier start of this one. */
	onSuspects: (suspects: Suspect[]) => void;
};

/** The register. */
export type SuspectRegister = {
	/** Keeps suspects beyond the life of this process. */
	note(suspects: readonly Suspect[]): void;
	/** Writes what was noted, and follows what others note, until the signal aborts. */
	run(signal: AbortSignal): Promise<void>;
};

const table = 'suspects';
/** Suspects in one row at most. */
const mostInRow = 128;
/** Milliseconds after its start in which a node hears from its peers whether it is to follow. */
const startDelay = 1000;
/** Milliseconds before another try of a write that failed. */
const retryPause = 500;

/** Creates a register. */
export function createSuspectRegister(
	options: SuspectRegisterOptions,
): SuspectRegister {
	const {store, node, clock, random, reporter} = options;
	let noted = new Map<RequestIdentity, Suspect>();
	let version = 0;
	let isDirty = false;
	let isWriting = false;

	/** Within the bound, those in quarantine first, then the latest. */
	const trim = () => {
		const latestFirst = [...noted.values()].reverse();
		const kept = latestFirst
			.sort(
				(left, right) =>
					Number(isQuarantined(right)) - Number(isQuarantined(left)),
			)
			.slice(0, mostInRow);
		noted = new Map(
			kept.reverse().map((suspect) => [suspect.identity, suspect]),
		);
	};

	const writeOnce = async (): Promise<boolean> => {
		const at = clock.date().getTime();
		const suspects = [...noted.values()].map((suspect) => toTuple(suspect));
		const result = await store.write(
			{table, key: node, value: JSON.stringify({at, suspects})},
			version,
		);
		if (result.isOk()) {
			version = result.value;
			return true;
		}

		if (result.error.kind === 'conflict') {
			version = result.error.current?.version ?? 0;
			keepEarlier(result.error.current);
		}

		return false;
	};

	/** An earlier start of this node noted them; they stay. */
	const keepEarlier = (row: StoredRow | undefined) => {
		const earlier = row ? decode(row) : [];
		noted = new Map([
			...earlier.map((suspect): [string, Suspect] => [
				suspect.identity,
				suspect,
			]),
			...noted,
		]);
		trim();
	};

	const write = async (signal: AbortSignal) => {
		if (isWriting) {
			return;
		}

		isWriting = true;
		while (isDirty && !signal.aborted) {
			isDirty = false;
			// eslint-disable-next-line no-await-in-loop -- one write after the other, each with the version before it.
			const isDone = await writeOnce();
			if (!isDone) {
				isDirty = true;
				// eslint-disable-next-line no-await-in-loop -- a pause between two tries.
				await sleep(clock, retryPause * random.fraction(), signal);
			}
		}

		isWriting = false;
	};

	const decode = (row: StoredRow): Suspect[] => {
		const value = readRow(row.value);
		if (!value) {
			reporter.notice('meshRowMalformed', {key: row.key});
			return [];
		}

		const age = clock.date().getTime() - value.at;
		return age > memoryTime
			? []
			: value.suspects.map((tuple) => toSuspect(tuple));
	};

	const waitForTurn = async (signal: AbortSignal) => {
		while (!signal.aborted && !options.isFollower()) {
			// eslint-disable-next-line no-await-in-loop -- one look a period.
			await sleep(clock, turnPeriod, signal);
		}
	};

	let life: AbortSignal | undefined;
	return {
		note(suspects) {
			for (const suspect of suspects) {
				noted.delete(suspect.identity);
				noted.set(suspect.identity, suspect);
			}

			trim();
			isDirty = true;
			if (life) {
				void write(life);
			}
		},
		async run(signal) {
			life = signal;
			void write(signal);
			await sleep(clock, startDelay, signal);
			await followTable(
				{
					store,
					table,
					clock,
					random,
					waitForTurn,
					onRows(rows) {
						const present = rows.filter(({isRemoved}) => !isRemoved);
						options.onSuspects(present.flatMap((row) => decode(row)));
					},
					// The follower of configurations tells of a lost store.
					onCalled: () => undefined,
				},
				signal,
			);
		},
	};
}

function readRow(value: string): z.output<typeof rowSchema> | undefined {
	try {
		const parsed = rowSchema.safeParse(JSON.parse(value));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
