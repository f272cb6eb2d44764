/**
 * Requests, outcomes, cancels and loads as lists in place of maps.
 *
 * They are nearly all that links carry. As maps each spells some fifteen
 * names, which is more than the rest of a small request, and bytes between
 * data centres are paid for. Lists are also quicker to write and to read.
 */
import type {
	ForwardedRequest,
	LossReason,
	Outcome,
	RefusalReason,
	TargetLoad,
} from './exchange.js';

/** A message that travels as a list. */
export type CompactMessage =
	/** How loaded the sender's target is, when no outcome has told it lately. */
	| {kind: 'load'; load: TargetLoad}
	| {kind: 'request'; exchange: number; request: ForwardedRequest}
	| {kind: 'cancel'; exchange: number}
	| {
			kind: 'outcome';
			exchange: number;
			outcome: Outcome;
			load: TargetLoad | undefined;
	  };

type Kind = CompactMessage['kind'];

/** The first item of each list. */
const codes = {
	request: 0,
	cancel: 1,
	outcome: 2,
	load: 3,
} as const satisfies Record<Kind, number>;

/** Shares travel as whole thousandths: a fraction takes nine bytes. */
const shareScale = 1000;

/** Whether a message travels as a list. */
export function isCompact<T extends {kind: string}>(
	message: T,
): message is Extract<T, CompactMessage> {
	return Object.hasOwn(codes, message.kind);
}

/** Writes a message as a list. */
export function toCompact(message: CompactMessage): unknown[] {
	return writers[message.kind](message as never);
}

const writers: {
	[K in Kind]: (message: Extract<CompactMessage, {kind: K}>) => unknown[];
} = {
	request: ({exchange, request}) => [
		codes.request,
		exchange,
		request.requestId,
		request.method,
		request.path,
		request.headers,
		request.body ?? null,
		request.service,
		request.isIdempotent,
		request.isInner,
		request.priority,
		Math.round(request.maxWait),
		// Never more than there is.
		Math.floor(request.timeLeft),
		Math.round(request.repeatShare * shareScale),
		request.route,
		request.isNearCompletion,
		request.crashes,
	],
	cancel: ({exchange}) => [codes.cancel, exchange],
	load: ({load}) => [codes.load, ...toNumbers(load)],
	outcome: ({exchange, outcome, load}) => [
		codes.outcome,
		exchange,
		load ? toNumbers(load) : null,
		outcome.kind,
		'reason' in outcome ? outcome.reason : outcome.status,
		...(outcome.kind === 'answered' ? [outcome.headers, outcome.body] : []),
	],
};

/** Reads a list; undefined when it is none of these messages. */
export function fromCompact(list: unknown[]): CompactMessage | undefined {
	const reader = readers[list[0] as number];
	return reader &&
		list.length >= reader.leastLength &&
		typeof list[1] === 'number'
		? reader.read(list)
		: undefined;
}

/** A reader for each code, and the items that its list has at least. */
const readers: Array<{
	leastLength: number;
	read: (list: unknown[]) => CompactMessage | undefined;
}> = [
	{leastLength: 17, read: readRequest},
	{
		leastLength: 2,
		read: (list) => ({kind: 'cancel', exchange: list[1] as number}),
	},
	{leastLength: 5, read: readOutcome},
	{leastLength: 5, read: readLoad},
];

/** Where a request's list holds what, by type; its headers and its body are looked at apart. */
const requestTypes = {
	string: [2, 3, 4, 7, 14],
	boolean: [8, 9, 15],
	number: [10, 11, 12, 13, 16],
} as const;

/**
 * A part of a wrong type would throw at the target's client after a slot was
 * taken for it, which is then never free again; one would notice a target
 * that is called full and runs nothing.
 */
function isRequestList(list: unknown[]): boolean {
	const body = list[6];
	return (
		Object.entries(requestTypes).every(([type, positions]) =>
			positions.every((position) => typeof list[position] === type),
		) &&
		Array.isArray(list[5]) &&
		(body === null || body instanceof Uint8Array)
	);
}

function readRequest(list: unknown[]): CompactMessage | undefined {
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
			repeatShare: (list[13] as number) / shareScale,
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
	const [, exchange, load, kind, detail, headers, body] = list;
	const outcome = readOutcomeKind(kind, detail, headers, body);
	return (
		outcome && {
			kind: 'outcome',
			exchange: exchange as number,
			outcome,
			load: Array.isArray(load) ? fromNumbers(load as LoadNumbers) : undefined,
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

/** Shares in thousandths, and the run time in milliseconds. */
type LoadNumbers = [number, number, number, number];

function toNumbers(load: TargetLoad): LoadNumbers {
	return [
		Math.round(load.occupancy * shareScale),
		Math.round(load.shedLevel * shareScale),
		Math.round(load.failureShare * shareScale),
		Math.round(load.runTime),
	];
}

function fromNumbers([
	occupancy,
	shedLevel,
	failureShare,
	runTime,
]: LoadNumbers): TargetLoad {
	return {
		occupancy: occupancy / shareScale,
		shedLevel: shedLevel / shareScale,
		failureShare: failureShare / shareScale,
		runTime,
	};
}
