import {expect} from 'chai';
import {
	findVariant,
	variantNames,
	formatResult,
	runSweep,
	scenarios,
} from '../src/index.js';
import {drawGoodput} from '../src/plot.js';

describe('the printed result', () => {
	it('is one line, with null for undefined figures', () => {
		const figures = {goodput: 1, recoverySeconds: undefined};
		const line = formatResult({scenario: 'light', policies: {naive: figures}});
		expect(line).to.equal(
			'{"scenario":"light","naive":{"goodput":1,"recoverySeconds":null}}',
		);
	});

	it('has a variant for every policy name', () => {
		for (const name of variantNames) {
			expect(findVariant(name)?.name).to.equal(name);
		}

		expect(findVariant('clever')).to.equal(undefined);
	});
});

describe('the sweep', () => {
	it('summarizes the figures of every policy', () => {
		const result = runSweep(
			{scenario: 'light', deployment: 'fieldline', policies: ['naive']},
			[1],
		);
		expect(Object.keys(result.policies)).to.deep.equal(['naive']);
		expect(result.policies.naive!.ranTwice).to.deep.equal({
			median: 0,
			worst: 0,
			worstSeed: 1,
		});
	});
});

describe('the chart', () => {
	it('is a standalone SVG file, identical for the same points', () => {
		const draw = () =>
			drawGoodput({
				title: 'two policies',
				scenario: scenarios.light,
				limitGoodput: 10,
				points: ['naive', 'egretspoke'].flatMap((policy) =>
					[0, 1, 2].map((second) => ({policy, second, goodput: second})),
				),
			});
		expect(draw()).to.match(/^<svg xmlns="http:\/\/www\.w3\.org\/2000\/svg"/u);
		expect(draw()).to.contain('egretspoke');
		expect(draw()).to.equal(draw());
	});
});
