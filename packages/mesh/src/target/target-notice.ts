/** What a target states about itself in the headers of each answer. */
import type {HeaderNames} from '../configuration/header-names.js';

/** The rate limit in one answer. */
export type RateLimitNotice =
	/** The target accepts requests at any rate. */
	| {kind: 'unlimited'}
	/** Requests per second that the target accepts from all nodes together. */
	| {kind: 'limited'; perSecond: number}
	| {kind: 'malformed'; text: string};

/** The statements of one answer. */
export type TargetNotice = {
	rateLimit: RateLimitNotice;
	/** The target is leaving and accepts no further requests. */
	isLeaving: boolean;
};

/** Received headers; repeated ones are lists. */
type ReceivedHeaders = Record<string, string | string[] | undefined>;

const decimalNumber = /^(?:\d+(?:\.\d*)?|\.\d+)$/;
/** The value of the leaving header of a target that leaves. */
const leavingValue = '1';

/** Reads the statements from the headers of an answer. */
export function readTargetNotice(
	headers: ReceivedHeaders,
	names: Pick<HeaderNames, 'rateLimit' | 'leaving'>,
): TargetNotice {
	return createTargetNotice(headers[names.rateLimit], headers[names.leaving]);
}

/** Reads the statements from the values of their headers; repeated ones are lists. */
export function createTargetNotice(
	rateLimit: string | string[] | undefined,
	leaving: string | string[] | undefined,
): TargetNotice {
	return {
		rateLimit: readRateLimit(rateLimit),
		isLeaving: Array.isArray(leaving)
			? leaving.includes(leavingValue)
			: leaving === leavingValue,
	};
}

function readRateLimit(value: string | string[] | undefined): RateLimitNotice {
	if (value === undefined) {
		return {kind: 'unlimited'};
	}

	const text = Array.isArray(value) ? value.join(', ') : value.trim();
	const perSecond = decimalNumber.test(text) ? Number(text) : Number.NaN;
	return Number.isFinite(perSecond)
		? {kind: 'limited', perSecond}
		: {kind: 'malformed', text};
}
