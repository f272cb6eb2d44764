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

/** What a peer may do to one answer. */
const fates = ['whole', 'twice', 'cut', 'never', 'late', 'refused'] as const;

type Fate = (typeof fates)[number];
type Seen = {fate: Fate; expected: Uint8Array; result: ExchangeResult};
type CreateTable = (send: (message: Message) => boolean) => ExchangeTable;

describe('exchanges on one channel', () => {
	describe('with a peer that answers late, out of order, cut and twice', () => {
		it('give thousands of callers their own whole answers', async () => {
			// Thousands of orders are under way between two nodes when one of them
			// slows down. Answers come back in any order, some after their callers
			// gave up, some cut by a broken body, some twice. A boat owner must never
			// see another's receipt, nor half of their own.
			const seen = await run(createExchangeTable, 4000, 11);
			expect(seen.flatMap((each) => findFault(each) ?? [])).to.deep.equal([]);
			const answered = seen.filter(
				({result}) => result.outcome.kind === 'answered',
			);
			expect(answered.length).to.be.greaterThan(1000);
		});

		it('do so for any seed and number of callers', async () => {
			const holds = async (count: number, seed: number) => {
				const seen = await run(createExchangeTable, count, seed);
				return seen.every((each) => findFault(each) === undefined);
			};

			await fc.assert(
				fc.asyncProperty(fc.integer({min: 1, max: 200}), fc.integer(), holds),
				{seed: 4, numRuns: 100},
			);
		});

		it('are seen to mix up answers when matched in their order', async () => {
			// The same peer, with answers given to whoever waits longest.
			const seen = await run(createTableInOrder, 400, 11);
			const faults = seen.flatMap((each) => findFault(each) ?? []);
			expect(faults).to.include('the answer of another');
		});

		it('are seen to take a short body for whole when its length is not checked', async () => {
			// A connection breaks within a body, and what came is taken for all.
			const seen = await run(createTableWithoutLength, 400, 11);
			const faults = seen.flatMap((each) => findFault(each) ?? []);
			expect(faults).to.include('a body cut short');
		});
	});

	describe('with a channel that closes', () => {
		it('end as unknown when sent, and as not run when never sent', async () => {
			// The connection breaks with requests under way. Those may have run, and
			// saying "not run" of them would invite a second payment.
			const sent: Message[] = [];
			const table = createExchangeTable((message) => sent.push(message) > 0);
			const {signal} = new AbortController();
			const open = table.open((exchange) => callOf(exchange, 'x'), signal);
			table.closeAll();
			const before = await open;
			expect(before.outcome.kind).to.equal('unknown');
			const after = await table.open(
				(exchange) => callOf(exchange, 'y'),
				signal,
			);
			expect(after.outcome.kind).to.equal('notRun');
			expect(after.isUnsent).to.equal(true);
			expect(sent).to.have.lengthOf(1);
		});
	});
});

/** Opens all exchanges at once and lets the peer answer them as the seed says. */
async function run(
	createTable: CreateTable,
	count: number,
	seed: number,
): Promise<Seen[]> {
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
			fate: fates[random.below(fates.length)]!,
			expected: answerBytes(text),
			result: table.open((exchange) => callOf(exchange, text), stop.signal),
		};
	});
	const answers = calls.flatMap((call, index) =>
		answer(call, callers[index]!.fate),
	);
	for (const {fate, stop} of callers) {
		if (fate === 'late') {
			stop.abort();
		}
	}

	for (const message of shuffle(answers, random)) {
		table.settle(carry(message));
	}

	table.closeAll();
	return Promise.all(
		callers.map(async ({fate, expected, result}) => ({
			fate,
			expected,
			result: await result,
		})),
	);
}

function answer(call: CallMessage, fate: Fate): AnswerMessage[] {
	const body = answerBytes(new TextDecoder().decode(call.request.body));
	const whole = writeAnswer(call.exchange, {
		outcome: {kind: 'answered', answer: {status: 200, headers: {}, body}},
	});
	const byFate: Record<Fate, AnswerMessage[]> = {
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
	return byFate[fate];
}

const rightEnds: Record<Fate, Outcome['kind']> = {
	whole: 'answered',
	twice: 'answered',
	refused: 'notRun',
	cut: 'unknown',
	never: 'unknown',
	late: 'unknown',
};

/** What is wrong with what a caller got, if anything. */
function findFault({fate, expected, result}: Seen): string | undefined {
	const {outcome} = result;
	if (outcome.kind !== 'answered') {
		return outcome.kind === rightEnds[fate]
			? undefined
			: `${fate}: ${outcome.kind}`;
	}

	const {body} = outcome.answer;
	if (Buffer.compare(body, expected) === 0) {
		return undefined;
	}

	return Buffer.compare(body, expected.slice(0, body.length)) === 0
		? 'a body cut short'
		: 'the answer of another';
}

/** Answers go to whoever has waited longest, as on a connection without numbers. */
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

/** The length that the sender stated is replaced by that of what came. */
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

function callOf(exchange: number, text: string): CallMessage {
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

/** Through the codec, as on a socket. */
function carry(message: AnswerMessage): AnswerMessage {
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
