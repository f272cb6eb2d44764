/** The suspects that one node found out itself, as the text that it keeps in the store. */
import type {Clock} from '@egretspoke/shared';
import {z} from 'zod';
import type {RequestIdentity} from './request-identity.js';
import {isQuarantined, type Suspect} from './suspect.js';
import {retentionPeriod} from './suspect-table.js';
import {suspectTupleSchema, toSuspect, toTuple} from './suspect-tuple.js';

/** The suspects of one node, within a bound. */
export type LocalSuspects = {
	record(suspects: readonly Suspect[]): void;
	/** Takes what an earlier start of the node had noted; what is noted since goes first. */
	restore(suspects: readonly Suspect[]): void;
	serialize(): string;
};

/** Suspects in one text at most. */
const mostNoted = 128;

/** When it was written, in milliseconds since 1970, and what its node had noted. */
const textSchema = z.object({
	at: z.number(),
	suspects: z.array(suspectTupleSchema),
});

/** Creates the suspects of a node that has found out nothing. */
export function createLocalSuspects(clock: Clock): LocalSuspects {
	let noted = new Map<RequestIdentity, Suspect>();

	const replace = (suspects: readonly Suspect[]) => {
		noted = new Map(suspects.map((suspect) => [suspect.identity, suspect]));
	};

	/** Keeps those in quarantine first, then the latest. */
	const trim = () => {
		if (noted.size <= mostNoted) {
			return;
		}

		const latestFirst = [...noted.values()].reverse();
		const kept = latestFirst
			.sort(
				(left, right) =>
					Number(isQuarantined(right)) - Number(isQuarantined(left)),
			)
			.slice(0, mostNoted);
		replace(kept.reverse());
	};

	return {
		record(suspects) {
			for (const suspect of suspects) {
				noted.delete(suspect.identity);
				noted.set(suspect.identity, suspect);
			}

			trim();
		},
		restore(suspects) {
			replace([...suspects, ...noted.values()]);
			trim();
		},
		serialize: () =>
			JSON.stringify({
				at: clock.date().getTime(),
				suspects: [...noted.values()].map((suspect) => toTuple(suspect)),
			}),
	};
}

/** The suspects of a text, none when it is too old; undefined when it is malformed. */
export function parseLocalSuspects(
	text: string,
	clock: Clock,
): Suspect[] | undefined {
	const parsed = textSchema.safeParse(parseJson(text));
	if (!parsed.success) {
		return undefined;
	}

	const {at, suspects} = parsed.data;
	const isOld = clock.date().getTime() - at > retentionPeriod;
	return isOld ? [] : suspects.map((tuple) => toSuspect(tuple));
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
