/** Tracks the rate limit of the local target, and logs its changes. */
import type {Clock} from '@egretspoke/shared';
import {createKnownRateLimit} from './decisions/known-rate-limit.js';
import type {MeshReporter} from './mesh-reporter.js';
import type {TargetNotice} from './target-notice.js';
import {createThrottledUpdates} from './throttled-updates.js';

/** Dependencies of the tracking. */
export type TargetRateOptions = {
	clock: Clock;
	reporter: Pick<MeshReporter, 'notice'>;
};

/** The rate limit of the current target. */
export type TargetRate = {
	/** Starts without a limit, because the target is a new incarnation. */
	reset(targetId: string): void;
	/** Applies the notice in an answer; `ordinal` increases with the start of each request at the target. */
	apply(notice: TargetNotice, ordinal: number): void;
	/** Requests per second, infinite without a limit; undefined before any answer. */
	limit(): number | undefined;
	close(): void;
};

/** Minimum interval between two log lines about one target, in milliseconds. */
const logInterval = 1000;
/** Maximum length of a malformed value in a log line. */
const maxLoggedText = 40;

/** Creates the tracking without a target. */
export function createTargetRate({
	clock,
	reporter,
}: TargetRateOptions): TargetRate {
	let target = '';
	let known = createKnownRateLimit();
	let changedAt = clock.now();
	let logged = Number.POSITIVE_INFINITY;
	let malformed = '';

	const limitOrInfinity = () => known.value() ?? Number.POSITIVE_INFINITY;

	const logChange = () => {
		const limit = limitOrInfinity();
		if (limit !== logged) {
			const now = clock.now();
			reporter.notice('meshRateLimitChanged', {
				target,
				change: nameChange(logged, limit),
				limit: toText(limit),
				previous: toText(logged),
				previousAge: Math.round(now - changedAt),
			});
			logged = limit;
			changedAt = now;
		}
	};

	const changes = createThrottledUpdates({
		clock,
		initialInterval: logInterval,
		maxInterval: logInterval,
		send: logChange,
	});
	const malformedNotices = createThrottledUpdates({
		clock,
		initialInterval: logInterval,
		maxInterval: logInterval,
		send() {
			reporter.notice('meshRateLimitMalformed', {
				target,
				value: malformed.slice(0, maxLoggedText),
				limit: toText(limitOrInfinity()),
			});
		},
	});

	return {
		reset(targetId) {
			target = targetId;
			known = createKnownRateLimit();
			logged = Number.POSITIVE_INFINITY;
			changedAt = clock.now();
		},
		apply({rateLimit}, ordinal) {
			known.apply(rateLimit, ordinal);
			if (rateLimit.kind === 'malformed') {
				malformed = rateLimit.text;
				malformedNotices.schedule();
			}

			if (limitOrInfinity() !== logged) {
				changes.schedule();
			}
		},
		limit: () => known.value(),
		close() {
			changes.close();
			malformedNotices.close();
		},
	};
}

function nameChange(previous: number, limit: number): string {
	if (limit === Number.POSITIVE_INFINITY) {
		return 'ended';
	}

	return previous === Number.POSITIVE_INFINITY ? 'known' : 'changed';
}

function toText(limit: number): string {
	return limit === Number.POSITIVE_INFINITY ? 'none' : String(limit);
}
