/**
 * Tracks which configuration version is in force at a node, and which versions
 * its sources report. A node that is behind can otherwise not be told from one
 * that has heard of nothing newer.
 */
import type {Clock} from './clock.js';

/** A version that came into force. */
export type AppliedVersion = {
	version: number;
	/** The source that it came from. */
	source: string;
	/** Milliseconds since the first report of a version newer than the previous one. */
	delay: number;
};

/** The current values, for the metrics. */
export type VersionReadings = {
	/** The source of the version in force; undefined while there is none. */
	source: string | undefined;
	/** Milliseconds since it came into force; undefined while there is none. */
	age: number | undefined;
	/** Milliseconds from the first report of a newer version until it came into force. */
	delay: number;
	/** The newest version that a source has reported. */
	newestReported: number;
	/** Milliseconds since each source last reported a version, by source. */
	silence: Record<string, number>;
};

/** A reported version that is newer than the one in force. */
export type PendingVersion = {
	version: number;
	/** Milliseconds since the first report of a newer version than the one in force. */
	knownFor: number;
};

/** Tracks the versions of one node. */
export type VersionTracker = {
	/** Records that a source reported the version, also if it is not newer. */
	recordReport(source: string, version: number): void;
	recordApplied(source: string, version: number): AppliedVersion;
	/** The newest reported version; undefined while it is in force. */
	pending(): PendingVersion | undefined;
	readings(): VersionReadings;
};

/** Maximum number of sources; the one that has been silent for longest is dropped first. */
const maxSources = 64;

/** Creates a tracker without versions. */
export function createVersionTracker(
	clock: Pick<Clock, 'now'>,
): VersionTracker {
	/** Time of the last report of each source, the latest last. */
	const reportedAt = new Map<string, number>();
	let newestReported = 0;
	let inForce: (AppliedVersion & {at: number}) | undefined;
	/** Time of the first report of a version newer than the one in force. */
	let behindSince: number | undefined;

	const recordReport = (source: string, version: number) => {
		const now = clock.now();
		reportedAt.delete(source);
		reportedAt.set(source, now);
		if (reportedAt.size > maxSources) {
			const [oldest] = reportedAt.keys();
			reportedAt.delete(oldest!);
		}

		newestReported = Math.max(newestReported, version);
		if (newestReported > (inForce?.version ?? 0)) {
			behindSince ??= now;
		}
	};

	return {
		recordReport,
		recordApplied(source, version) {
			recordReport(source, version);
			const now = clock.now();
			const delay = Math.round(now - (behindSince ?? now));
			const applied = {version, source, delay};
			inForce = {...applied, at: now};
			behindSince = newestReported > version ? now : undefined;
			return applied;
		},
		pending: () =>
			behindSince === undefined
				? undefined
				: {version: newestReported, knownFor: clock.now() - behindSince},
		readings() {
			const now = clock.now();
			return {
				source: inForce?.source,
				age: inForce && now - inForce.at,
				delay: inForce?.delay ?? 0,
				newestReported,
				silence: Object.fromEntries(
					[...reportedAt].map(([source, at]) => [source, now - at]),
				),
			};
		},
	};
}
