/** The suspects that a node recorded itself, and their text in the store. */
import type {Clock} from '@egretspoke/shared';
import {z} from 'zod';
import type {RequestIdentity} from './request-identity.js';
import {isQuarantined, type Suspect} from './suspect.js';
import {retentionPeriod} from './suspect-table.js';
import {suspectTupleSchema, toSuspect, toTuple} from './suspect-tuple.js';

/** A bounded set of the suspects that one node recorded. */
export type LocalSuspects = {
	record(suspects: readonly Suspect[]): void;
	/** Adds the suspects of an earlier start of the node; those recorded since take precedence. */
	restore(suspects: readonly Suspect[]): void;
	serialize(): string;
};

/** Maximum number of suspects. */
const maxSuspects = 128;

/** The time of the write, in milliseconds since 1970, and the suspects. */
const textSchema = z.object({
	at: z.number().int(),
	suspects: z.array(z.unknown()),
});

/** Creates an empty set. */
export function createLocalSuspects(clock: Clock): LocalSuspects {
	let entries = new Map<RequestIdentity, Suspect>();

	const replace = (suspects: readonly Suspect[]) => {
		entries = new Map(suspects.map((suspect) => [suspect.identity, suspect]));
	};

	/** Keeps those in quarantine first, then the latest. */
	const trim = () => {
		if (entries.size <= maxSuspects) {
			return;
		}

		const latestFirst = [...entries.values()].reverse();
		const kept = latestFirst
			.sort(
				(left, right) =>
					Number(isQuarantined(right)) - Number(isQuarantined(left)),
			)
			.slice(0, maxSuspects);
		replace(kept.reverse());
	};

	return {
		record(suspects) {
			for (const suspect of suspects) {
				entries.delete(suspect.identity);
				entries.set(suspect.identity, suspect);
			}

			trim();
		},
		restore(suspects) {
			replace([...suspects, ...entries.values()]);
			trim();
		},
		serialize: () =>
			JSON.stringify({
				at: clock.date().getTime(),
				suspects: [...entries.values()].map((suspect) => toTuple(suspect)),
			}),
	};
}

/**
 * Parses the text of a node; empty when older than `retentionPeriod`, undefined
 * when malformed. Single malformed suspects are skipped.
 */
export function parseLocalSuspects(
	text: string,
	clock: Clock,
	onSkipped: () => void = () => undefined,
): Suspect[] | undefined {
	const parsed = textSchema.safeParse(parseJson(text));
	if (!parsed.success) {
		return undefined;
	}

	const {at, suspects} = parsed.data;
	const read = suspects.flatMap((tuple) => {
		const {data} = suspectTupleSchema.safeParse(tuple);
		return data ? [toSuspect(data)] : [];
	});
	if (suspects.length > 0 && read.length === 0) {
		return undefined;
	}

	if (read.length < suspects.length) {
		onSkipped();
	}

	return clock.date().getTime() - at > retentionPeriod ? [] : read;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
