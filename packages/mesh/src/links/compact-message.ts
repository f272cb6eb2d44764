/**
 * Encodes requests, outcomes, cancels and loads as lists instead of maps.
 *
 * These messages are nearly all of the traffic on links. As a map, each would
 * spell out about fifteen property names, which is more than the rest of a small
 * request, and traffic between data centres is billed by the byte. Lists are
 * also faster to encode and to decode.
 */
import {maxDuration} from '../field-schemas.js';
import type {
	ForwardedRequest,
	LossReason,
	Outcome,
	RateLoad,
	RefusalReason,
	TargetLoad,
} from './exchange.js';

/** A message that is sent as a list. */
export type CompactMessage =
	/** Load of the sender's target; sent if no recent outcome carried it. */
	| {kind: 'load'; load: TargetLoad}
	| {kind: 'request'; exchange: number; request: ForwardedRequest}
	| LargeRequest
	| {kind: 'cancel'; exchange: number}
	| {
			kind: 'outcome';
			exchange: number;
			outcome: Outcome;
			load: TargetLoad | undefined;
			/** Present if the body follows in parts; its bytes, or `unknownSize`. */
			streamSize?: number | undefined;
	  }
	| BodyPart
	/** The receiver of a body has memory for so many further bytes of it. */
	| {kind: 'credit'; exchange: number; bytes: number};

/** A request whose body follows in parts once the receiver has asked for it. */
export type LargeRequest = {
	kind: 'largeRequest';
	exchange: number;
	request: ForwardedRequest;
	bodySize: number;
};

/** A part of the body of a request or a response, and what follows it. */
export type BodyPart = {
	kind: 'part';
	exchange: number;
	bytes: Uint8Array;
	rest: 'more' | 'last' | 'cut';
};

/** Stands for the size of a body that its target does not state. */
export const unknownSize = -1;

type Kind = CompactMessage['kind'];

/** Message codes; the first item of each list. */
const codes = {
	request: 0,
	cancel: 1,
	outcome: 2,
	load: 3,
	largeRequest: 4,
	part: 5,
	credit: 6,
} as const satisfies Record<Kind, number>;

/** Ratios are sent as whole thousandths, because a floating-point number takes nine bytes. */
const ratioScale = 1000;

/** Whether a message is sent as a list. */
export function isCompact<T extends {kind: string}>(
	message: T,
): message is Extract<T, CompactMessage> {
	return Object.hasOwn(codes, message.kind);
}

/** Encodes a message as a list. */
export function toCompact(message: CompactMessage): unknown[] {
	return encoders[message.kind](message as never);
}

const encoders: {
	[K in Kind]: (message: Extract<CompactMessage, {kind: K}>) => unknown[];
} = {
	request: ({exchange, request}) => [
		codes.request,
		...toRequestItems(exchange, request, request.body),
	],
	largeRequest: ({exchange, request, bodySize}) => [
		codes.largeRequest,
		...toRequestItems(exchange, request, undefined),
		bodySize,
	],
	part: ({exchange, bytes, rest}) => [
		codes.part,
		exchange,
		bytes,
		restCodes.indexOf(rest),
	],
	credit: ({exchange, bytes}) => [codes.credit, exchange, bytes],
	cancel: ({exchange}) => [codes.cancel, exchange],
	load: ({load}) => [codes.load, ...toNumbers(load)],
	outcome({exchange, outcome, load, streamSize}) {
		const numbers = load ? toNumbers(load) : null;
		return outcome.kind === 'answered'
			? [
					codes.outcome,
					exchange,
					numbers,
					outcome.kind,
					outcome.status,
					outcome.headers,
					outcome.body,
					...(streamSize === undefined ? [] : [streamSize]),
				]
			: [
					codes.outcome,
					exchange,
					numbers,
					outcome.kind,
					outcome.kind === 'declined' ? outcome.status : outcome.reason,
				];
	},
};

/** What follows a part, by its code. */
const restCodes = ['more', 'last', 'cut'] as const satisfies Array<
	BodyPart['rest']
>;

function toRequestItems(
	exchange: number,
	request: ForwardedRequest,
	body: Uint8Array | undefined,
): unknown[] {
	return [
		exchange,
		request.requestId,
		request.method,
		request.path,
		request.headers,
		body ?? null,
		request.service,
		request.isIdempotent,
		request.isInner,
		request.priority,
		Math.round(request.maxWait),
		// Rounded down, so that the receiver never assumes more time than is left.
		Math.floor(request.timeLeft),
		Math.round(request.repeatShare * ratioScale),
		request.route,
		request.isNearCompletion,
		request.crashes,
	];
}

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

function isLoadList(load: unknown): load is LoadNumbers {
	if (!Array.isArray(load) || load.length < minLoadLength) {
		return false;
	}

	for (const item of load as number[]) {
		// The least is `unlimited`, which stands for an infinite one.
		if (!Number.isFinite(item) || item < unlimited) {
			return false;
		}
	}

	return true;
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

/**
 * Ratios in thousandths, the run time in milliseconds, and the rate limit in
 * requests per second with its occupancy in thousandths. The last four are
 * sent only while a rate is known, which is from the first answer on: a node of
 * an earlier version would take any placeholder for a rate limit.
 */
type LoadNumbers = [
	occupancy: number,
	shedLevel: number,
	failureShare: number,
	runTime: number,
	rateLimit?: number,
	rateOccupancy?: number,
	declined?: number,
	declineLevel?: number,
	demand?: number,
	heldLevel?: number,
];

/** The numbers that each load has. */
const minLoadLength = 4;

/** Stands for an infinite rate limit, which takes nine bytes as a number. */
const unlimited = -1;

function toNumbers(load: TargetLoad): LoadNumbers {
	const numbers: LoadNumbers = [
		Math.round(load.occupancy * ratioScale),
		Math.round(load.shedLevel * ratioScale),
		Math.round(load.failureShare * ratioScale),
		Math.round(load.runTime),
	];
	if (load.rate) {
		numbers.push(...toRateNumbers(load.rate), ...toDemandNumbers(load));
	}

	return numbers;
}

function toRateNumbers(rate: RateLoad): [number, number] {
	return rate.limit === Number.POSITIVE_INFINITY
		? [unlimited, 0]
		: [rate.limit, Math.round(rate.occupancy * ratioScale)];
}

function toDemandNumbers(load: TargetLoad): [number, number, number, number] {
	return [
		Math.round(load.declined * ratioScale),
		Math.round(load.declineLevel * ratioScale),
		Math.round(load.demand * ratioScale),
		Math.round(load.heldLevel * ratioScale),
	];
}

function fromNumbers([
	occupancy,
	shedLevel,
	failureShare,
	runTime,
	rateLimit,
	rateOccupancy = 0,
	declined = 0,
	declineLevel = 0,
	demand = 0,
	heldLevel = 0,
]: LoadNumbers): TargetLoad {
	return {
		occupancy: occupancy / ratioScale,
		shedLevel: shedLevel / ratioScale,
		failureShare: failureShare / ratioScale,
		runTime,
		declined: declined / ratioScale,
		declineLevel: declineLevel / ratioScale,
		demand: demand / ratioScale,
		heldLevel: heldLevel / ratioScale,
		...(rateLimit !== undefined && {
			rate: {
				limit: rateLimit === unlimited ? Number.POSITIVE_INFINITY : rateLimit,
				occupancy: rateOccupancy / ratioScale,
			},
		}),
	};
}
