import {expect} from 'chai';
import {createKnownRateLimit} from '../src/decisions/admission/known-rate-limit.js';
import {
	readTargetNotice,
	type RateLimitNotice,
} from '../src/target/target-notice.js';

const names = {rateLimit: 'rate-limit', leaving: 'leaving'};

describe('the notice in an answer', () => {
	const readLimit = (value: string | string[] | undefined) =>
		readTargetNotice({'rate-limit': value}, names).rateLimit;

	it('contains no limit when the header is missing', () => {
		expect(readLimit(undefined)).to.deep.equal({kind: 'unlimited'});
	});

	for (const [text, perSecond] of [
		['11.6', 11.6],
		['0.5', 0.5],
		['.5', 0.5],
		['0', 0],
		['1000', 1000],
	] as const) {
		it(`contains the limit ${text}`, () => {
			expect(readLimit(text)).to.deep.equal({kind: 'limited', perSecond});
		});
	}

	// Guards against a malformed value that disables the limit or that throws.
	for (const text of [
		'',
		'many',
		'-1',
		'NaN',
		'Infinity',
		'1e3',
		'0x10',
		'5 6',
	]) {
		it(`is malformed with the value "${text}"`, () => {
			expect(readLimit(text).kind).to.equal('malformed');
		});
	}

	it('is malformed with a number that is too large to be finite', () => {
		expect(readLimit('9'.repeat(400)).kind).to.equal('malformed');
	});

	it('is malformed when the header is repeated', () => {
		expect(readLimit(['5', '8']).kind).to.equal('malformed');
	});

	it('states that the target leaves only with the value 1', () => {
		const isLeaving = (value: string | undefined) =>
			readTargetNotice({leaving: value}, names).isLeaving;
		expect(isLeaving('1')).to.equal(true);
		expect(isLeaving('0')).to.equal(false);
		expect(isLeaving(undefined)).to.equal(false);
	});
});

describe('the known rate limit of a target', () => {
	const limited = (perSecond: number): RateLimitNotice => ({
		kind: 'limited',
		perSecond,
	});

	it('is unknown before any answer', () => {
		expect(createKnownRateLimit().value()).to.equal(undefined);
	});

	it('is replaced by a changed value and ended by an answer without it', () => {
		const known = createKnownRateLimit();
		known.apply(limited(12), 1);
		known.apply(limited(3), 2);
		expect(known.value()).to.equal(3);
		known.apply({kind: 'unlimited'}, 3);
		expect(known.value()).to.equal(Number.POSITIVE_INFINITY);
	});

	// Guards against a limit that an answer of an earlier request changes or ends.
	it('is not changed by an answer of a request that started earlier', () => {
		const known = createKnownRateLimit();
		known.apply(limited(3), 7);
		known.apply(limited(12), 6);
		known.apply({kind: 'unlimited'}, 5);
		expect(known.value()).to.equal(3);
	});

	it('stays in force when an answer contains a malformed value', () => {
		const known = createKnownRateLimit();
		known.apply(limited(3), 1);
		known.apply({kind: 'malformed', text: 'many'}, 2);
		expect(known.value()).to.equal(3);
	});
});
