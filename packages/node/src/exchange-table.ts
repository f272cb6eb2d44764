/**
 * The exchanges open on one channel, matched by number.
 *
 * What goes wrong without it: an answer that comes late, after its caller gave
 * up, is given to whoever waits next on the channel, and a boat owner sees
 * another's receipt. One notices answers that don't fit their requests. Here
 * a number is used once for the life of a channel; an answer with no open
 * exchange is dropped and counted, and one whose length doesn't fit is an
 * error, never a short success.
 */
import {
	acceptCertifiedRefusal,
	createUnknownOutcome,
	createRefusal,
	ErrorCode,
	createNotRunOutcome,
	type AnswerMessage,
	type LoadReport,
	type Message,
	type Outcome,
	type Refusal,
} from '@egretspoke/protocol';

/** What came back for a call: its outcome, and the load of the node that gave it. */
export type ExchangeResult = {
	outcome: Outcome;
	load?: LoadReport;
	/** True when the peer was never asked, so that nothing is known of it. */
	isUnsent?: true;
};

/** The open exchanges of one channel. */
export type ExchangeTable = {
	/**
	 * Opens an exchange and sends its first message. It resolves once: with the
	 * answer, or as `unknown` when the channel closes or the signal aborts. The
	 * peer is told to cancel in the latter case.
	 */
	open(
		create: (exchange: number) => Message,
		signal: AbortSignal,
	): Promise<ExchangeResult>;
	/** Takes an answer in; false when nobody waits for it. */
	settle(message: AnswerMessage): boolean;
	/** The channel is closed: every open exchange ends as `unknown`. */
	closeAll(): void;
	size(): number;
};

/** Creates a table that sends by the given function; `send` tells whether it sent. */
export function createExchangeTable(
	send: (message: Message) => boolean,
): ExchangeTable {
	const open = new Map<number, (result: ExchangeResult) => void>();
	let nextExchange = 1;
	let isClosed = false;

	return {
		async open(create, signal) {
			if (isClosed || signal.aborted) {
				return notSent();
			}

			const exchange = nextExchange++;
			return new Promise((resolve) => {
				const settle = (result: ExchangeResult) => {
					open.delete(exchange);
					signal.removeEventListener('abort', cancel);
					resolve(result);
				};

				const cancel = () => {
					send({type: 'cancel', exchange});
					settle(lost(ErrorCode.DeadlineWhileRunning));
				};

				open.set(exchange, settle);
				if (!send(create(exchange))) {
					settle(notSent());
					return;
				}

				signal.addEventListener('abort', cancel);
			});
		},
		settle(message) {
			const waiter = open.get(message.exchange);
			waiter?.(readAnswer(message));
			return waiter !== undefined;
		},
		closeAll() {
			isClosed = true;
			for (const settle of open.values()) {
				settle(lost(ErrorCode.AnswerLost));
			}
		},
		size: () => open.size,
	};
}

/** Turns an outcome into the message that ends an exchange. */
export function writeAnswer(
	exchange: number,
	{outcome, load}: ExchangeResult,
): AnswerMessage {
	const base = {
		type: 'answer' as const,
		exchange,
		kind: outcome.kind,
		length: 0,
		...(load && {load}),
	};
	if (outcome.kind !== 'answered') {
		return {...base, refusal: outcome.refusal};
	}

	const {status, headers, body} = outcome.answer;
	return {
		...base,
		status,
		headers,
		body,
		length: body.length,
		...(outcome.repeated && {repeated: true}),
	};
}

const answerReaders: Record<
	AnswerMessage['kind'],
	(message: AnswerMessage) => Outcome
> = {
	answered(message) {
		const {status, headers, body, length, repeated} = message;
		if (status === undefined || body?.length !== length) {
			return createUnknownOutcome(createRefusal(ErrorCode.AnswerCut));
		}

		return {
			kind: 'answered',
			answer: {status, headers: headers ?? {}, body},
			...(repeated && {repeated}),
		};
	},
	notRun: (message) =>
		createNotRunOutcome(acceptCertifiedRefusal('peer'), readRefusal(message)),
	unknown: (message) => createUnknownOutcome(readRefusal(message)),
};

function readAnswer(message: AnswerMessage): ExchangeResult {
	const outcome = answerReaders[message.kind](message);
	return message.load ? {outcome, load: message.load} : {outcome};
}

function readRefusal({refusal}: AnswerMessage): Refusal {
	if (!refusal || !(refusal.code in ErrorCode)) {
		return createRefusal(ErrorCode.Internal);
	}

	const {code, detail, retryAfter} = refusal;
	return createRefusal(code, {
		detail,
		...(retryAfter !== undefined && {retryAfter}),
	});
}

/** The end of an exchange whose first message never left. */
export function notSent(): ExchangeResult {
	return {
		isUnsent: true,
		outcome: createNotRunOutcome(
			acceptCertifiedRefusal('connectRefused'),
			createRefusal(ErrorCode.TargetUnreachable, {retryAfter: 0}),
		),
	};
}

function lost(code: ErrorCode): ExchangeResult {
	return {outcome: createUnknownOutcome(createRefusal(code))};
}
