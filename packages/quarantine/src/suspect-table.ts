/**
 * Tracks which requests crash the targets that run them. A caller repeats such
 * a request with a new id, at any node, and the service loses one target after
 * another. Dozens of innocent requests run on each of them; some are retried
 * together with the faulty one and are running again at the next crash.
 */
import {
	hashQuickly,
	identifyRequest,
	quickHashOf,
	type RequestIdentity,
	type RequestParts,
} from './request-identity.js';
import {isIsolated, isNewer, isQuarantined, type Suspect} from './suspect.js';

/** A run that a crash ended; `startedAt` is in milliseconds on the monotonic clock. */
export type CrashedRun = {
	identity: RequestIdentity;
	startedAt: number;
	/** Crashes of the request that its sender had recorded. */
	crashes: number;
};

/** The suspects that a node has recorded, its own and those of other nodes. */
export type SuspectTable = {
	/**
	 * Returns the suspect of a request; undefined when it has no crashes. `partsOf`
	 * is called only when the quick hash matches that of a suspect.
	 */
	lookUp(
		path: string,
		bodyLength: number,
		partsOf: () => RequestParts,
		now: number,
	): Suspect | undefined;
	/**
	 * Records a crash with the runs that it ended; returns the suspects that changed.
	 * The crash counts only against runs that began after the previous crash was
	 * recorded, so that targets that crash simultaneously count once. From the second
	 * crash on, a request runs isolated and a crash counts against it alone.
	 */
	recordCrash(runs: CrashedRun[], now: number): Suspect[];
	/**
	 * Clears a request that a target answered, because the faulty one is never
	 * answered; returns the changed suspect, if any.
	 */
	clear(identity: RequestIdentity, now: number): Suspect | undefined;
	/** Merges the suspects of another node; returns those that are newer than the local ones. */
	merge(received: readonly Suspect[], now: number): Suspect[];
	/** Returns at most `maxCount` suspects with crashes, those with the most crashes first. */
	list(maxCount: number): Suspect[];
	/** Removes suspects that have been unused for longer than `retentionPeriod`. */
	expire(now: number): void;
};

/** Milliseconds for which a suspect is stored after its last use. */
export const retentionPeriod = 3_600_000;
/** Maximum number of suspects. */
const capacity = 1000;

type Entry = Suspect & {
	/** When the last change was recorded. */
	recordedAt: number;
	/** When the suspect was last looked up or changed. */
	lastUsedAt: number;
};

/** Creates a table without suspects. */
export function createSuspectTable(): SuspectTable {
	const entries = new Map<RequestIdentity, Entry>();
	/** The number of suspects with crashes for each quick hash. */
	const quickHashes = new Map<number, number>();

	const updateHashCount = ({identity, crashes}: Suspect, change: number) => {
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
		updateHashCount(entry, -1);
	};

	/**
	 * At capacity, evicts the least recently changed suspect: one without crashes
	 * if there is any, else one that is not in quarantine, else any.
	 */
	const evict = () => {
		if (entries.size < capacity) {
			return;
		}

		const all = [...entries.values()];
		const evicted =
			all.find(({crashes}) => crashes === 0) ??
			all.find((entry) => !isQuarantined(entry)) ??
			all[0]!;
		remove(evicted);
	};

	const set = (suspect: Suspect, now: number): Suspect => {
		const known = entries.get(suspect.identity);
		if (known) {
			remove(known);
		} else {
			evict();
		}

		entries.set(suspect.identity, {
			...suspect,
			recordedAt: now,
			lastUsedAt: now,
		});
		updateHashCount(suspect, 1);
		return suspect;
	};

	/** Returns the crashes that were recorded, here or at the sender, when the run began. */
	const crashesBefore = ({identity, startedAt, crashes}: CrashedRun) => {
		const known = entries.get(identity);
		return known && known.recordedAt <= startedAt
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

			entry.lastUsedAt = now;
			return entry;
		},
		recordCrash(runs, now) {
			const candidates = runs.map((run) => ({
				identity: run.identity,
				before: crashesBefore(run),
			}));
			const maxBefore = Math.max(0, ...candidates.map(({before}) => before));
			const blamed = isIsolated({crashes: maxBefore})
				? candidates.filter(({before}) => before === maxBefore)
				: candidates;
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
		merge(received, now) {
			return received.filter((suspect) => {
				const known = entries.get(suspect.identity);
				const isUpdate = known ? isNewer(suspect, known) : true;
				if (isUpdate) {
					set(suspect, now);
				}

				return isUpdate;
			});
		},
		list: (maxCount) =>
			[...entries.values()]
				.filter(({crashes}) => crashes > 0)
				.sort((left, right) => right.crashes - left.crashes)
				.slice(0, maxCount)
				.map(({identity, round, crashes}) => ({identity, round, crashes})),
		expire(now) {
			for (const entry of entries.values()) {
				if (now - entry.lastUsedAt > retentionPeriod) {
					remove(entry);
				}
			}
		},
	};
}
