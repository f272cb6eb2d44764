import {Buffer} from 'node:buffer';
import process from 'node:process';
import {expect} from 'chai';
import {Packr} from 'msgpackr';
import {
	decodeFrame,
	type Member,
	type PeerMessage,
} from '../src/links/peer-message.js';

const packr = new Packr({useRecords: false});
const member: Member = {
	node: 'node-1',
	address: '10.0.0.1:7620',
	dataCentre: 'east',
	service: 'reads',
	startedAt: 1,
};
const load = [0, 0, 0, 0];
const answered = [2, 1, load, 'answered', 200, ['A', 'b'], Buffer.from('x')];
const request = [
	0,
	1,
	'id',
	'GET',
	'/',
	['A', 'b'],
	null,
	'reads',
	true,
	false,
	0,
	100,
	1000,
	0,
	'route',
	true,
	0,
];

/** The list with another value at an index. */
function change(list: unknown[], index: number, value: unknown): unknown[] {
	return list.with(index, value);
}

function decode(message: unknown, sentAt: unknown = 0) {
	return decodeFrame(packr.pack([sentAt, [message]]));
}

/** The only message of a frame. */
function decodeOne(message: unknown): PeerMessage | undefined {
	return decode(message)._unsafeUnwrap().messages[0];
}

describe('odd messages between nodes', () => {
	it('decodes the messages that the cases below change', () => {
		expect(decodeOne(answered)?.kind).to.equal('outcome');
		expect(decodeOne(request)?.kind).to.equal('request');
		expect(decodeOne({kind: 'members', members: [member]})).to.deep.equal({
			kind: 'members',
			members: [member],
		});
	});

	describe('are an error', () => {
		const odd: Record<string, unknown> = {
			'a version that is a text': {kind: 'version', version: '1'},
			'a version of 1e300': {kind: 'version', version: 1e300},
			'a version that is not a number': {kind: 'version', version: Number.NaN},
			'a version of -1': {kind: 'version', version: -1},
			'a hello with a port above 65535': {
				kind: 'hello',
				member: {...member, address: '10.0.0.1:99999'},
				configurationVersion: 1,
			},
			'closing with an exchange that is a text': {
				kind: 'closing',
				running: ['1'],
			},
			'an exchange of half': change(answered, 1, 0.5),
			'an exchange that is not a number': change(answered, 1, Number.NaN),
			'an outcome with a load of texts': change(answered, 2, ['a', 0, 0, 0]),
			'an outcome with a short load': change(answered, 2, [0]),
			'an outcome with a load that is not a number': change(answered, 2, [
				Number.NaN,
				0,
				0,
				0,
			]),
			'an outcome with an infinite load': change(answered, 2, [
				0,
				Number.POSITIVE_INFINITY,
				0,
				0,
			]),
			'an outcome of an inherited kind': change(answered, 3, '__proto__'),
			// `writeHead` throws for it.
			'a status of 1e300': change(answered, 4, 1e300),
			'a status of 20': change(answered, 4, 20),
			'a header without a value': change(answered, 5, ['A']),
			'headers that are numbers': change(answered, 5, [1, 2]),
			'a size of -7': [...answered, -7],
			'a size that is a text': [...answered, '7'],
			'a refusal whose reason is a table': [2, 1, null, 'refused', {}],
			'a refusal without a reason': [2, 1, null, 'refused', null],
			'a declined request without a status': [2, 1, null, 'declined', null],
			'a request with a header without a value': change(request, 5, ['A']),
			'a request with headers that are tables': change(request, 5, [{}, {}]),
			'a request whose wait is not a number': change(request, 11, Number.NaN),
			'a request whose time left is infinite': change(
				request,
				12,
				Number.POSITIVE_INFINITY,
			),
			'a request with a priority of half': change(request, 10, 0.5),
			'a request with crashes of -1': change(request, 16, -1),
			'a part with an inherited code': [5, 1, Buffer.from('x'), 'length'],
			'a credit of 1e300': [6, 1, 1e300],
			'a list with an inherited code': ['length', 1, 2, 3, 4],
		};
		for (const [title, message] of Object.entries(odd)) {
			it(`with ${title}`, () => {
				expect(decode(message).isErr()).to.equal(true);
			});
		}

		it('with a send time that is not a number', () => {
			for (const sentAt of [Number.NaN, -1, 1e300, '0', null]) {
				expect(decode({kind: 'ping'}, sentAt).isErr()).to.equal(true);
			}
		});
	});

	// `schemas[kind]` found an inherited function and called `safeParse` of it.
	it('are skipped if their kind is that of an inherited property', () => {
		for (const kind of ['constructor', '__proto__', 'toString', 7, null]) {
			expect(decode({kind})._unsafeUnwrap().messages).to.deep.equal([]);
		}
	});

	// Only the kind was looked at, and the handler of a request threw without one.
	it('are skipped if they are tables of a kind that is sent as a list', () => {
		for (const kind of ['request', 'outcome', 'part', 'cancel', 'load']) {
			expect(decode({kind})._unsafeUnwrap().messages).to.deep.equal([]);
		}
	});

	it('keep a refusal and a loss of a reason that is not known', () => {
		expect(decodeOne([2, 1, null, 'refused', 'constructor'])).to.deep.include({
			outcome: {kind: 'refused', reason: 'linkDown'},
		});
		expect(decodeOne([2, 1, null, 'lost', 'later'])).to.deep.include({
			outcome: {kind: 'lost', reason: 'linkLost'},
		});
	});

	it('shorten a time that a timer cannot take', () => {
		// A timer beyond 2^31 ms fires at once.
		const decoded = decodeOne(change(change(request, 11, 1e300), 12, 1e300));
		expect(decoded?.kind === 'request' && decoded.request).to.include({
			maxWait: 2 ** 31 - 1,
			timeLeft: 2 ** 31 - 1,
		});
	});

	it('lose only the malformed entries of members and suspects, with a line each', () => {
		const skipped: string[] = [];
		const messages = [
			{
				kind: 'members',
				members: [
					{...member, address: '10.0.0.9:99999'},
					member,
					{...member, startedAt: 1e300},
					null,
				],
			},
			{kind: 'suspects', suspects: [['a', 1, 1e300], ['b', 1, 2], 7]},
		];
		const frame = decodeFrame(packr.pack([0, messages]), (detail) => {
			skipped.push(detail);
		});
		expect(frame._unsafeUnwrap().messages).to.deep.equal([
			{kind: 'members', members: [member]},
			{kind: 'suspects', suspects: [['b', 1, 2]]},
		]);
		expect(skipped).to.have.length(5);
	});

	// A member with a table nested deep was passed on by gossip, and encoding it threw.
	it('lose what no schema names', () => {
		let deep: unknown = 1;
		for (let depth = 0; depth < 1000; depth++) {
			deep = [deep];
		}

		const members = [{...member, extra: deep}];
		expect(decodeOne({kind: 'members', members})).to.deep.equal({
			kind: 'members',
			members: [member],
		});
	});

	it('are an error if they are nested 200,000 deep or cut', () => {
		expect(decodeFrame(Buffer.alloc(200_000, 0x91)).isErr()).to.equal(true);
		const whole = packr.pack([0, [request, answered]]);
		for (let length = 0; length < whole.byteLength; length++) {
			expect(decodeFrame(whole.subarray(0, length)).isErr()).to.equal(true);
		}
	});

	// 50 bytes took 1.3 GB and 1.3 s, and the platform ends a process that exceeds its memory.
	it('take no memory for lists that are longer than the frame', () => {
		const lists = Buffer.alloc(50);
		for (let index = 0; index < 50; index += 5) {
			lists.set([0xdd, 1], index);
		}

		const before = process.memoryUsage().rss;
		expect(decodeFrame(lists).isErr()).to.equal(true);
		expect(process.memoryUsage().rss - before).to.be.below(50_000_000);
		// Lists of 65,535 items, each in the one before.
		const nested = Buffer.alloc(3000);
		for (let index = 0; index < 3000; index += 3) {
			nested.set([0xdc, 0xff, 0xff], index);
		}

		expect(decodeFrame(nested).isErr()).to.equal(true);
		expect(process.memoryUsage().rss - before).to.be.below(50_000_000);
	});

	it('are decoded if bytes of a body look like lengths of lists', () => {
		const body = Buffer.alloc(5000, 0xdd).fill(0xdc, 2500);
		const decoded = decodeOne(change(answered, 6, body));
		expect(decoded?.kind).to.equal('outcome');
	});
});
