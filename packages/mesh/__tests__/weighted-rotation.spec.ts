import {expect} from 'chai';
import {createWeightedRotation} from '../src/decisions/routing/weighted-rotation.js';

describe('weighted rotation', () => {
	it('keeps any sequence of requests within one request of the weights', () => {
		const rotation = createWeightedRotation([
			{service: 'old', weight: 90},
			{service: 'new', weight: 10},
		]);
		for (let run = 0; run < 50; run++) {
			const taken = Array.from({length: 10}, () => rotation.next());
			expect(taken.filter((service) => service === 'new')).to.have.length(1);
		}
	});

	it('selects no service of weight 0 when others have a weight', () => {
		const rotation = createWeightedRotation([
			{service: 'old', weight: 0},
			{service: 'new', weight: 5},
		]);
		expect(Array.from({length: 5}, () => rotation.next())).to.not.include(
			'old',
		);
	});
});
