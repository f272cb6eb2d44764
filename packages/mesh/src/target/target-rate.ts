/** Keeps the requests to the local target within the rate limit that it names, and logs its changes. */
import type {Clock} from '@egretspoke/shared';
import {createKnownRateLimit} from '../decisions/admission/known-rate-limit.js';
import {
	burstOf,
	createRateLimiter,
} from '../decisions/admission/rate-limiter.js';
import type {AdmissionRate} from '../decisions/admission/target-admission.js';
import type {RateLoad} from '../links/exchange.js';
import type {MeshReporter} from '../mesh-reporter.js';
import {createThrottledUpdates} from '../timing/throttled-updates.js';
import type {TargetNotice} from './target-notice.js';

/** Dependencies of the rate. */
export type TargetRateOptions = {
	clock: Clock;
	reporter: Pick<MeshReporter, 'notice'>;
};

/** The rate limit of the current target. */
export type TargetRate = AdmissionRate & {
	/** Starts without a limit, because the target is a new incarnation. */
	reset(targetId: string): void;
	/** Applies the notice in an answer; `ordinal` increases with the start of each request at the target. */
	apply(notice: TargetNotice, ordinal: number): void;
	/** Applies a limit that another node knows from earlier answers; the lowest one holds until the next answer. */
	adopt(perSecond: number): void;
	/** Counts a request that the target gets. */
	take(): void;
	/** Requests per second, infinite without a limit; undefined before any answer. */
	limit(): number | undefined;
	/** The limit and its use with this number of waiting requests; undefined before any answer. */
	load(waiting: number): RateLoad | undefined;
	close(): void;
};

/** Minimum interval between two log lines about one target, in milliseconds. */
const logInterval = 1000;
/** Maximum length of a malformed value in a log line. */
const maxLoggedText = 40;

/** Creates a rate without a target. */
export function createTargetRate({
	clock,
	reporter,
}: TargetRateOptions): TargetRate {
	let target = '';
	let known = createKnownRateLimit();
	let adopted: number | undefined;
	let limiter = createRateLimiter();
	let changedAt = clock.now();
	let logged = Number.POSITIVE_INFINITY;
	let malformed = '';

	const currentLimit = () => known.value() ?? adopted;
	const limitOrInfinity = () => currentLimit() ?? Number.POSITIVE_INFINITY;

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

	const update = (previous: number) => {
		const limit = limitOrInfinity();
		if (limit !== previous) {
			limiter.setLimit(limit, clock.now());
		}

		if (limit !== logged) {
			changes.schedule();
		}
	};

	return {
		perSecond: () => limiter.perSecond(),
		waitTime: (now) => limiter.waitTime(now),
		take() {
			limiter.take(clock.now());
		},
		reset(targetId) {
			target = targetId;
			known = createKnownRateLimit();
			adopted = undefined;
			limiter = createRateLimiter();
			logged = Number.POSITIVE_INFINITY;
			changedAt = clock.now();
		},
		apply({rateLimit}, ordinal) {
			const previous = limitOrInfinity();
			known.apply(rateLimit, ordinal);
			if (rateLimit.kind === 'malformed') {
				malformed = rateLimit.text;
				malformedNotices.schedule();
			}

			update(previous);
		},
		adopt(perSecond) {
			const previous = limitOrInfinity();
			adopted = Math.min(perSecond, adopted ?? perSecond);
			update(previous);
		},
		limit: currentLimit,
		load(waiting) {
			const limit = currentLimit();
			if (limit === undefined) {
				return undefined;
			}

			const used = limiter.occupancy(clock.now());
			const occupancy = used + waiting / burstOf(limiter.perSecond());
			return {limit, occupancy};
		},
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
