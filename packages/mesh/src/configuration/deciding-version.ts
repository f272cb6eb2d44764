/** Describes the configuration that decides about a request, for the log. */
import type {VersionTracker} from '@egretspoke/shared';

/** The version in force at the arrival of a request, and the newest one that the node knew of. */
export type DecidingVersion = {
	configuration: number;
	/** Set if a newer version was reported and not received yet. */
	newerConfiguration?: number;
	/** Milliseconds since the first report of a newer version. */
	newerKnownFor?: number;
};

/** Creates a function that describes the version in force now. */
export function createDecidingVersion(
	versions: Pick<VersionTracker, 'pending'>,
	currentVersion: () => number,
): () => DecidingVersion {
	/** Shared by all requests that arrive while no newer version is known. */
	let latest: DecidingVersion = {configuration: 0};
	return () => {
		const configuration = currentVersion();
		const pending = versions.pending();
		if (pending) {
			return {
				configuration,
				newerConfiguration: pending.version,
				newerKnownFor: Math.round(pending.knownFor),
			};
		}

		if (latest.configuration !== configuration) {
			latest = {configuration};
		}

		return latest;
	};
}
