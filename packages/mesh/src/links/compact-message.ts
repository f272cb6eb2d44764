/**
 * Encodes requests, outcomes, cancels and loads as lists instead of maps.
 *
 * These messages are nearly all of the traffic on links. As a map, each would
 * spell out about fifteen property names, which is more than the rest of a small
 * request, and traffic between data centres is billed by the byte. Lists are
 * also faster to encode and to decode.
 */
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
	const decoder = decoders[list[0] as number];
	return decoder &&
		list.length >= decoder.minLength &&
		typeof list[1] === 'number'
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
		read: (list) => ({kind: 'cancel', exchange: list[1] as number}),
	},
	{minLength: 5, read: readOutcome},
	{minLength: 5, read: readLoad},
	{minLength: 18, read: readLargeRequest},
	{minLength: 4, read: readPart},
	{
		minLength: 3,
		read: (list) =>
			typeof list[2] === 'number'
				? {kind: 'credit', exchange: list[1] as number, bytes: list[2]}
				: undefined,
	},
];

/**
 * An item of a wrong type would throw in the target's client after the request
 * has taken a slot, which would never be released: the target would be reported
 * as full while it runs nothing.
 */
function isRequestList(list: unknown[]): boolean {
	const body = list[6];
	return (
		typeof list[2] === 'string' &&
		typeof list[3] === 'string' &&
		typeof list[4] === 'string' &&
		Array.isArray(list[5]) &&
		(body === null || body instanceof Uint8Array) &&
		typeof list[7] === 'string' &&
		typeof list[8] === 'boolean' &&
		typeof list[9] === 'boolean' &&
		typeof list[10] === 'number' &&
		typeof list[11] === 'number' &&
		typeof list[12] === 'number' &&
		typeof list[13] === 'number' &&
		typeof list[14] === 'string' &&
		typeof list[15] === 'boolean' &&
		typeof list[16] === 'number'
	);
}

function readLargeRequest(list: unknown[]): CompactMessage | undefined {
	const message = readRequest(list);
	const bodySize = list[17];
	return message && Number.isSafeInteger(bodySize) && (bodySize as number) > 0
		? {...message, kind: 'largeRequest', bodySize: bodySize as number}
		: undefined;
}

function readPart([, exchange, bytes, code]: unknown[]):
	CompactMessage | undefined {
	const rest = restCodes[code as number];
	return bytes instanceof Uint8Array && rest !== undefined
		? {kind: 'part', exchange: exchange as number, bytes, rest}
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
			maxWait: list[11] as number,
			timeLeft: list[12] as number,
			repeatShare: (list[13] as number) / ratioScale,
			route: list[14] as string,
			isNearCompletion: list[15] as boolean,
			crashes: list[16] as number,
		},
	};
}

function readLoad([, ...load]: unknown[]): CompactMessage | undefined {
	return load.every((share) => typeof share === 'number')
		? {kind: 'load', load: fromNumbers(load as LoadNumbers)}
		: undefined;
}

function readOutcome(list: unknown[]): CompactMessage | undefined {
	const load = list[2];
	const outcome = readOutcomeKind(list[3], list[4], list[5], list[6]);
	return (
		outcome && {
			kind: 'outcome',
			exchange: list[1] as number,
			outcome,
			load: Array.isArray(load) ? fromNumbers(load as LoadNumbers) : undefined,
			...(typeof list[7] === 'number' && {streamSize: list[7]}),
		}
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
			return typeof detail === 'number' &&
				Array.isArray(headers) &&
				body instanceof Uint8Array
				? {kind, status: detail, headers: headers as string[], body}
				: undefined;
		}

		case 'declined': {
			return {kind, status: detail as number};
		}

		case 'refused': {
			return {kind, reason: detail as RefusalReason};
		}

		case 'lost': {
			return {kind, reason: detail as LossReason};
		}

		default: {
			return undefined;
		}
	}
}

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
