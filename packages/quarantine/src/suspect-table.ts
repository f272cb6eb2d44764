/**
 * Which requests crash the targets that run them.
 *
 * Load pattern: a caller repeats a request that crashes each target which
 * begins it. Every repeat has an id of its own and comes in at any node, so
 * that each looks like a first one, and a service loses one target after the
 * other, with all that these run. Dozens of innocent requests are at a target
 * when it crashes; some are sent again together with the guilty one and meet
 * the next crash as well.
 *
 * A crash counts against a request only when its run began after the crash
 * before was known, so that targets which crash at the same moment count once.
 * An answer of any target clears a request, since the guilty one never gets
 * that far. From the second crash on a request runs beside no other such one,
 * and takes the blame alone.
 */
import {
	hashQuickly,
	identifyRequest,
	quickHashOf,
	type RequestIdentity,
	type RequestParts,
} from './request-identity.js';
import {isIsolated, isNewer, isQuarantined, type Suspect} from './suspect.js';

/** A run that a crash ended; instants in milliseconds by the steady clock. */
export type CrashedRun = {
	identity: RequestIdentity;
	startedAt: number;
	/** Crashes under this request that its sender knew of. */
	crashes: number;
};

/** The requests under suspicion. */
export type SuspectTable = {
	/** What is known of the request; undefined when no target crashed under it. */
	lookUp(
		path: string,
		bodyLength: number,
		partsOf: () => RequestParts,
		now: number,
	): Suspect | undefined;
	/** Takes a crash and what it ended; gives the suspects that it changed. */
	recordCrash(runs: CrashedRun[], now: number): Suspect[];
	/** A target answered the request; gives what changes by that. */
	clear(identity: RequestIdentity, now: number): Suspect | undefined;
	/** Takes what another node knows; gives what is new here. */
	merge(told: readonly Suspect[], now: number): Suspect[];
	/** Suspects with crashes, those with most first. */
	list(most: number): Suspect[];
	/** Forgets those that were not asked for in a long time. */
	expire(now: number): void;
};

/** Milliseconds for which a suspect is remembered after it was asked for last. */
export const retentionPeriod = 3_600_000;
/** Suspects that are remembered at most. */
const capacity = 1000;

type Entry = Suspect & {
	/** When the last crash was learnt of. */
	learntAt: number;
	/** When the request was asked for last, or news of it came. */
	seenAt: number;
};

/** Creates a table without suspects. */
export function createSuspectTable(): SuspectTable {
	const entries = new Map<RequestIdentity, Entry>();
	/** How many suspects with crashes have each quick hash. */
	const quickHashes = new Map<number, number>();

	const countHash = ({identity, crashes}: Suspect, change: number) => {
		if (crashes === 0) {
			return;
		}

		const hash = quickHashOf(identity);
		const count = (quickHashes.get(hash) ?? 0) + change;
		if (count > 0) {
			quickHashes.set(hash, count);
		} else {
			quickHashes.delete(hash);
		}
	};

	const remove = (entry: Entry) => {
		entries.delete(entry.identity);
		countHash(entry, -1);
	};

	const makeRoom = () => {
		if (entries.size < capacity) {
			return;
		}

		const all = [...entries.values()];
		const least =
			all.find(({crashes}) => crashes === 0) ??
			all.find((entry) => !isQuarantined(entry)) ??
			all[0]!;
		remove(least);
	};

	const set = (suspect: Suspect, now: number): Suspect => {
		const known = entries.get(suspect.identity);
		if (known) {
			remove(known);
		} else {
			makeRoom();
		}

		entries.set(suspect.identity, {...suspect, learntAt: now, seenAt: now});
		countHash(suspect, 1);
		return suspect;
	};

	/** Crashes that were known when the run began. */
	const crashesBefore = ({identity, startedAt, crashes}: CrashedRun) => {
		const known = entries.get(identity);
		return known && known.learntAt <= startedAt
			? Math.max(known.crashes, crashes)
			: crashes;
	};

	return {
		lookUp(path, bodyLength, partsOf, now) {
			if (
				quickHashes.size === 0 ||
				!quickHashes.has(hashQuickly(path, bodyLength))
			) {
				return undefined;
			}

			const entry = entries.get(identifyRequest(partsOf()));
			if (!entry || entry.crashes === 0) {
				return undefined;
			}

			entry.seenAt = now;
			return entry;
		},
		recordCrash(runs, now) {
			const weighed = runs.map((run) => ({
				identity: run.identity,
				before: crashesBefore(run),
			}));
			const most = Math.max(0, ...weighed.map(({before}) => before));
			const blamed = isIsolated({crashes: most})
				? weighed.filter(({before}) => before === most)
				: weighed;
			const changed: Suspect[] = [];
			for (const {identity, before} of blamed) {
				const {round = 0, crashes = 0} = entries.get(identity) ?? {};
				if (before + 1 > crashes) {
					changed.push(set({identity, round, crashes: before + 1}, now));
				}
			}

			return changed;
		},
		clear(identity, now) {
			const known = entries.get(identity);
			return known && known.crashes > 0
				? set({identity, round: known.round + 1, crashes: 0}, now)
				: undefined;
		},
		merge(told, now) {
			return told.filter((suspect) => {
				const known = entries.get(suspect.identity);
				const isNews = known ? isNewer(suspect, known) : true;
				if (isNews) {
					set(suspect, now);
				}

				return isNews;
			});
		},
		list: (most) =>
			[...entries.values()]
				.filter(({crashes}) => crashes > 0)
				.sort((left, right) => right.crashes - left.crashes)
				.slice(0, most)
				.map(({identity, round, crashes}) => ({identity, round, crashes})),
		expire(now) {
			for (const entry of entries.values()) {
				if (now - entry.seenAt > retentionPeriod) {
					remove(entry);
				}
			}
		},
	};
}
