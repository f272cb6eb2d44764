import {Buffer} from 'node:buffer';
import {
	createRefusal,
	decodeMessage,
	encodeMessage,
	ErrorCode,
	type AnswerMessage,
	type CallMessage,
	type Message,
	type Outcome,
} from '@egretspoke/protocol';
import {createRandom, type Random} from '@egretspoke/shared';
import {expect} from 'chai';
import fc from 'fast-check';
import {
	createExchangeTable,
	writeAnswer,
	type ExchangeResult,
	type ExchangeTable,
} from '../src/exchange-table.js';

/** How a peer may deliver one answer. */
const deliveries = [
	'whole',
	'twice',
	'cut',
	'never',
	'late',
	'refused',
] as const;

type Delivery = (typeof deliveries)[number];
type Received = {
	delivery: Delivery;
	expected: Uint8Array;
	result: ExchangeResult;
};
type CreateTable = (send: (message: Message) => boolean) => ExchangeTable;

describe('exchanges on one channel', () => {
	describe('with a peer that answers late, out of order, cut and twice', () => {
		it('return to each of thousands of callers its own whole answer', async () => {
			// Thousands of orders are in progress between two nodes when one of them
			// slows down. Answers arrive in any order, some after their callers gave
			// up, some cut by a broken body, some twice. A boat owner must never see
			// the receipt of another, nor half of their own.
			const received = await run(createExchangeTable, 4000, 11);
			expect(received.flatMap((each) => findFault(each) ?? [])).to.deep.equal(
				[],
			);
			const answered = received.filter(
				({result}) => result.outcome.kind === 'answered',
			);
			expect(answered.length).to.be.greaterThan(1000);
		});

		it('do so for any seed and number of callers', async () => {
			const holds = async (count: number, seed: number) => {
				const received = await run(createExchangeTable, count, seed);
				return received.every((each) => findFault(each) === undefined);
			};

			await fc.assert(
				fc.asyncProperty(fc.integer({min: 1, max: 200}), fc.integer(), holds),
				{seed: 4, numRuns: 100},
			);
		});

		it('would mix up answers if matched in their order', async () => {
			// The same peer, with each answer given to the caller that has waited
			// longest.
			const received = await run(createTableInOrder, 400, 11);
			const faults = received.flatMap((each) => findFault(each) ?? []);
			expect(faults).to.include('the answer of another');
		});

		it('would accept a short body as whole if its length were not checked', async () => {
			// A connection breaks within a body, and the part that arrived is
			// accepted as the whole.
			const received = await run(createTableWithoutLength, 400, 11);
			const faults = received.flatMap((each) => findFault(each) ?? []);
			expect(faults).to.include('a body cut short');
		});
	});

	describe('with a channel that closes', () => {
		it('end as unknown when sent, and as not run when never sent', async () => {
			// The connection breaks with requests in progress. These may have run,
			// and reporting them as "not run" would invite a second payment.
			const sent: Message[] = [];
			const table = createExchangeTable((message) => sent.push(message) > 0);
			const {signal} = new AbortController();
			const open = table.open((exchange) => createCall(exchange, 'x'), signal);
			table.closeAll();
			const before = await open;
			expect(before.outcome.kind).to.equal('unknown');
			const after = await table.open(
				(exchange) => createCall(exchange, 'y'),
				signal,
			);
			expect(after.outcome.kind).to.equal('notRun');
			expect(after.isUnsent).to.equal(true);
			expect(sent).to.have.lengthOf(1);
		});
	});
});

/** Opens all exchanges at the same time and lets the peer answer them according to the seed. */
async function run(
	createTable: CreateTable,
	count: number,
	seed: number,
): Promise<Received[]> {
	const random = createRandom(seed);
	const calls: CallMessage[] = [];
	const table = createTable((message) => {
		if (message.type === 'call') {
			calls.push(message);
		}

		return true;
	});
	const callers = Array.from({length: count}, (_, index) => {
		const stop = new AbortController();
		const text = `order ${index}`;
		return {
			stop,
			delivery: deliveries[random.below(deliveries.length)]!,
			expected: answerBytes(text),
			result: table.open((exchange) => createCall(exchange, text), stop.signal),
		};
	});
	const answers = calls.flatMap((call, index) =>
		answer(call, callers[index]!.delivery),
	);
	for (const {delivery, stop} of callers) {
		if (delivery === 'late') {
			stop.abort();
		}
	}

	for (const message of shuffle(answers, random)) {
		table.settle(passThroughCodec(message));
	}

	table.closeAll();
	return Promise.all(
		callers.map(async ({delivery, expected, result}) => ({
			delivery,
			expected,
			result: await result,
		})),
	);
}

function answer(call: CallMessage, delivery: Delivery): AnswerMessage[] {
	const body = answerBytes(new TextDecoder().decode(call.request.body));
	const whole = writeAnswer(call.exchange, {
		outcome: {kind: 'answered', answer: {status: 200, headers: {}, body}},
	});
	const byDelivery: Record<Delivery, AnswerMessage[]> = {
		whole: [whole],
		late: [whole],
		twice: [whole, whole],
		cut: [{...whole, body: body.slice(0, -1)}],
		never: [],
		refused: [
			{
				type: 'answer',
				exchange: call.exchange,
				kind: 'notRun',
				length: 0,
				refusal: createRefusal(ErrorCode.Overloaded),
			},
		],
	};
	return byDelivery[delivery];
}

const expectedKinds: Record<Delivery, Outcome['kind']> = {
	whole: 'answered',
	twice: 'answered',
	refused: 'notRun',
	cut: 'unknown',
	never: 'unknown',
	late: 'unknown',
};

/** The fault in what a caller received, if any. */
function findFault({delivery, expected, result}: Received): string | undefined {
	const {outcome} = result;
	if (outcome.kind !== 'answered') {
		return outcome.kind === expectedKinds[delivery]
			? undefined
			: `${delivery}: ${outcome.kind}`;
	}

	const {body} = outcome.answer;
	if (Buffer.compare(body, expected) === 0) {
		return undefined;
	}

	return Buffer.compare(body, expected.slice(0, body.length)) === 0
		? 'a body cut short'
		: 'the answer of another';
}

/** Gives answers to the caller that has waited longest, as on a connection without numbers. */
function createTableInOrder(
	send: (message: Message) => boolean,
): ExchangeTable {
	const table = createExchangeTable(send);
	let next = 1;
	return {
		...table,
		settle: (message) => table.settle({...message, exchange: next++}),
	};
}

/** Replaces the length that the sender stated by the length that arrived. */
function createTableWithoutLength(
	send: (message: Message) => boolean,
): ExchangeTable {
	const table = createExchangeTable(send);
	return {
		...table,
		settle: (message) =>
			table.settle({...message, length: message.body?.length ?? 0}),
	};
}

function createCall(exchange: number, text: string): CallMessage {
	return {
		type: 'call',
		exchange,
		role: 'run',
		request: {
			id: text,
			service: 'orders',
			method: 'GET',
			path: '/',
			headers: {},
			body: new TextEncoder().encode(text),
			requestClass: 'normal',
			caller: 'boat',
			timeLeft: 1000,
			attempts: 1,
			idempotent: true,
		},
	};
}

/** Bodies of many lengths, none a prefix of another's. */
function answerBytes(text: string): Uint8Array {
	const copies = 1 + ((Number(text.slice(6)) * 17) % 300);
	return new TextEncoder().encode(`${text};`.repeat(copies));
}

/** Encodes and decodes a message, as on a socket. */
function passThroughCodec(message: AnswerMessage): AnswerMessage {
	const decoded = decodeMessage(encodeMessage(message))._unsafeUnwrap();
	if (decoded.type !== 'answer') {
		throw new Error('the codec changed the type');
	}

	return decoded;
}

function shuffle<T>(items: T[], random: Random): T[] {
	const left = [...items];
	const shuffled: T[] = [];
	while (left.length > 0) {
		shuffled.push(...left.splice(random.below(left.length), 1));
	}

	return shuffled;
}
