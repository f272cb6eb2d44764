/** Decodes the messages that are sent as lists. */
import {maxDuration} from '../field-schemas.js';
import {fromNumbers, isLoadList, ratioScale} from './compact-load.js';
import {
	restCodes,
	unknownSize,
	type CompactMessage,
} from './compact-message.js';
import type {LossReason, Outcome, RefusalReason} from './exchange.js';

/** Decodes a list; returns undefined if it is none of these messages. */
export function fromCompact(list: unknown[]): CompactMessage | undefined {
	const [code] = list;
	const decoder = typeof code === 'number' ? decoders[code] : undefined;
	return decoder && list.length >= decoder.minLength
		? decoder.read(list)
		: undefined;
}

/** The decoder of each code, with the minimum length of its list. */
const decoders: Array<{
	minLength: number;
	read: (list: unknown[]) => CompactMessage | undefined;
}> = [
	{minLength: 17, read: readRequest},
	{
		minLength: 2,
		read: ([, exchange]) =>
			isCount(exchange) ? {kind: 'cancel', exchange} : undefined,
	},
	{minLength: 5, read: readOutcome},
	{minLength: 5, read: readLoad},
	{minLength: 18, read: readLargeRequest},
	{minLength: 4, read: readPart},
	{
		minLength: 3,
		read: ([, exchange, bytes]) =>
			isCount(exchange) && isCount(bytes)
				? {kind: 'credit', exchange, bytes}
				: undefined,
	},
];

/** The numbers of exchanges, and counts of bytes. */
function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Texts in pairs of a name and a value. */
function isHeaderList(value: unknown): value is string[] {
	if (!Array.isArray(value) || value.length % 2 !== 0) {
		return false;
	}

	for (const item of value) {
		if (typeof item !== 'string') {
			return false;
		}
	}

	return true;
}

/**
 * An item of a wrong type would throw in the target's client after the request
 * has taken a slot, which would never be released: the target would be reported
 * as full while it runs nothing.
 */
function isRequestList(list: unknown[]): boolean {
	const body = list[6];
	return (
		isCount(list[1]) &&
		typeof list[2] === 'string' &&
		typeof list[3] === 'string' &&
		typeof list[4] === 'string' &&
		isHeaderList(list[5]) &&
		(body === null || body instanceof Uint8Array) &&
		typeof list[7] === 'string' &&
		typeof list[8] === 'boolean' &&
		typeof list[9] === 'boolean' &&
		isCount(list[10]) &&
		Number.isFinite(list[11]) &&
		Number.isFinite(list[12]) &&
		Number.isFinite(list[13]) &&
		typeof list[14] === 'string' &&
		typeof list[15] === 'boolean' &&
		isCount(list[16])
	);
}

function readLargeRequest(list: unknown[]): CompactMessage | undefined {
	const message = readRequest(list);
	const bodySize = list[17];
	return message && isCount(bodySize) && bodySize > 0
		? {...message, kind: 'largeRequest', bodySize}
		: undefined;
}

function readPart([, exchange, bytes, code]: unknown[]):
	CompactMessage | undefined {
	const rest = typeof code === 'number' ? restCodes[code] : undefined;
	return isCount(exchange) && bytes instanceof Uint8Array && rest !== undefined
		? {kind: 'part', exchange, bytes, rest}
		: undefined;
}

function readRequest(
	list: unknown[],
): Extract<CompactMessage, {kind: 'request'}> | undefined {
	if (!isRequestList(list)) {
		return undefined;
	}

	return {
		kind: 'request',
		exchange: list[1] as number,
		request: {
			requestId: list[2] as string,
			method: list[3] as string,
			path: list[4] as string,
			headers: list[5] as string[],
			body: (list[6] as Uint8Array | undefined) ?? undefined,
			service: list[7] as string,
			isIdempotent: list[8] as boolean,
			isInner: list[9] as boolean,
			priority: list[10] as number,
			maxWait: Math.min(maxDuration, list[11] as number),
			timeLeft: Math.min(maxDuration, list[12] as number),
			repeatShare: (list[13] as number) / ratioScale,
			route: list[14] as string,
			isNearCompletion: list[15] as boolean,
			crashes: list[16] as number,
		},
	};
}

function readLoad(list: unknown[]): CompactMessage | undefined {
	const load = list.slice(1);
	return isLoadList(load) ? {kind: 'load', load: fromNumbers(load)} : undefined;
}

function readOutcome(list: unknown[]): CompactMessage | undefined {
	const [, exchange, load, kind, detail, headers, body, streamSize] = list;
	const outcome = readOutcomeKind(kind, detail, headers, body);
	const isValid =
		isCount(exchange) &&
		(load === null || isLoadList(load)) &&
		(streamSize === undefined ||
			streamSize === unknownSize ||
			isCount(streamSize));
	return outcome && isValid
		? {
				kind: 'outcome',
				exchange,
				outcome,
				load: load === null ? undefined : fromNumbers(load),
				...(streamSize !== undefined && {streamSize}),
			}
		: undefined;
}

/** Statuses that a response can have. */
function isStatus(value: unknown): value is number {
	return (
		Number.isInteger(value) &&
		(value as number) >= 100 &&
		(value as number) <= 999
	);
}

function readOutcomeKind(
	kind: unknown,
	detail: unknown,
	headers: unknown,
	body: unknown,
): Outcome | undefined {
	switch (kind) {
		case 'answered': {
			return isStatus(detail) &&
				isHeaderList(headers) &&
				body instanceof Uint8Array
				? {kind, status: detail, headers, body}
				: undefined;
		}

		case 'declined': {
			return isStatus(detail) ? {kind, status: detail} : undefined;
		}

		case 'refused': {
			return typeof detail === 'string'
				? {kind, reason: readRefusal(detail)}
				: undefined;
		}

		case 'lost': {
			return typeof detail === 'string'
				? {kind, reason: readLoss(detail)}
				: undefined;
		}

		default: {
			return undefined;
		}
	}
}

/** A refusal holds whatever its reason is; that of a later version counts as one of the link. */
function readRefusal(reason: string): RefusalReason {
	return Object.hasOwn(refusalReasons, reason)
		? (reason as RefusalReason)
		: 'linkDown';
}

function readLoss(reason: string): LossReason {
	return Object.hasOwn(lossReasons, reason)
		? (reason as LossReason)
		: 'linkLost';
}

const refusalReasons: Record<RefusalReason, true> = {
	noTarget: true,
	targetLeaving: true,
	otherService: true,
	targetUnreachable: true,
	targetReplaced: true,
	noRoom: true,
	rateLimited: true,
	waitedTooLong: true,
	noTimeLeft: true,
	quarantined: true,
	nodeStopping: true,
	linkDown: true,
};

const lossReasons: Record<LossReason, true> = {
	connectionLost: true,
	targetCrashed: true,
	answerCut: true,
	answerForeign: true,
	answerUnsigned: true,
	linkLost: true,
	noAnswerInTime: true,
};
