import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {createJoinedParts} from '@egretspoke/shared';

describe('joined parts', () => {
	const join = (parts: string[], expected?: number) => {
		const joined = createJoinedParts(expected);
		for (const part of parts) {
			joined.add(Buffer.from(part));
		}

		expect(joined.size()).to.equal(parts.join('').length);
		return Buffer.from(joined.take()).toString();
	};

	it('are one text, whatever their sizes', () => {
		const parts = Array.from({length: 5000}, (_, index) =>
			String(index).repeat(index % 7),
		);
		expect(join(parts)).to.equal(parts.join(''));
		expect(join(parts, parts.join('').length)).to.equal(parts.join(''));
	});

	it('are taken without a copy if there is one of the expected size', () => {
		const joined = createJoinedParts(4);
		const part = Buffer.from('whole'.slice(0, 4));
		joined.add(part);
		expect(joined.take().buffer).to.equal(part.buffer);
	});

	it('may exceed the expected size', () => {
		expect(join(['one', 'two', 'three'], 4)).to.equal('onetwothree');
	});

	it('may be none', () => {
		expect(join([])).to.equal('');
	});
});
