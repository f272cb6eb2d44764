/**
 * Tracks the open exchanges of one channel and matches answers to them by
 * number.
 *
 * An answer that arrives after its caller gave up could otherwise be given to
 * the next caller waiting on the channel, and a boat owner would see another's
 * receipt. A number is therefore used only once in the life of a channel, and
 * an answer without an open exchange is dropped and counted.
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

/** The result of a call: its outcome, and the load of the node that returned it. */
export type ExchangeResult = {
	outcome: Outcome;
	load?: LoadReport;
	/** True when nothing was sent to the peer, so the result contains no information about it. */
	isUnsent?: true;
};

/** The open exchanges of one channel. */
export type ExchangeTable = {
	/**
	 * Opens an exchange and sends its first message. Resolves once: with the
	 * answer, or as `unknown` when the channel closes or the signal aborts. An
	 * abort also sends a `cancel` message to the peer.
	 */
	open(
		create: (exchange: number) => Message,
		signal: AbortSignal,
	): Promise<ExchangeResult>;
	/** Settles the exchange that the answer belongs to; false when it is not open. */
	settle(message: AnswerMessage): boolean;
	/** Ends every open exchange as `unknown`, because the channel has closed. */
	closeAll(): void;
	size(): number;
};

/** Creates a table; `send` returns whether the message was sent. */
export function createExchangeTable(
	send: (message: Message) => boolean,
): ExchangeTable {
	const open = new Map<number, (result: ExchangeResult) => void>();
	let nextExchange = 1;
	let isClosed = false;

	return {
		async open(create, signal) {
			if (isClosed || signal.aborted) {
				return createUnsentResult();
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
					settle(createUnsentResult());
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

/** Creates the message that ends an exchange. */
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
		// An answer whose length doesn't match is an error, never a short success.
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

/** The result of an exchange whose first message was not sent. */
export function createUnsentResult(): ExchangeResult {
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
