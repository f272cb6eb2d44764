/**
 * Encodes requests, outcomes, cancels and loads as lists instead of maps.
 *
 * These messages are nearly all of the traffic on links. As a map, each would
 * spell out about fifteen property names, which is more than the rest of a small
 * request, and traffic between data centres is billed by the byte. Lists are
 * also faster to encode and to decode.
 */
import {ratioScale, toNumbers} from './compact-load.js';
import type {ForwardedRequest, Outcome, TargetLoad} from './exchange.js';

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
export const restCodes = ['more', 'last', 'cut'] as const satisfies Array<
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
