import {expect} from 'chai';
import {isNestedTooDeeply} from '../src/document-depth.js';

describe('the nesting of a document', () => {
	// Guards against a process that V8 aborts, because the parser overflowed its stack.
	for (const [name, part] of Object.entries({
		brackets: '[',
		braces: '{a: ',
		'lists on one line': '- ',
		'keys on one line': '? ',
	})) {
		it(`is too deep with 100,000 ${name}`, () => {
			expect(isNestedTooDeeply(part.repeat(100_000))).to.equal(true);
		});
	}

	it('is too deep by indentation', () => {
		const text = Array.from(
			{length: 2000},
			(_, depth) => `${' '.repeat(depth)}a:`,
		).join('\n');
		expect(isNestedTooDeeply(text)).to.equal(true);
	});

	it('does not count brackets within text', () => {
		const text = Array.from(
			{length: 200},
			(_, index) => `k${index}: "[{" # [`,
		).join('\n');
		expect(isNestedTooDeeply(text)).to.equal(false);
	});

	it('allows 64 brackets', () => {
		expect(isNestedTooDeeply(`${'['.repeat(64)}${']'.repeat(64)}`)).to.equal(
			false,
		);
	});
});
