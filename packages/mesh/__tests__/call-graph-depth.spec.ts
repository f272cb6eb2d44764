import {expect} from 'chai';
import {createCallGraph} from '../src/decisions/admission/call-graph.js';

describe('a call graph with a chain of 20,000 routes', () => {
	// The profiles of one peer threw a RangeError in each request that asked for a cost.
	it('has costs, and the chain is not known completely', () => {
		const graph = createCallGraph();
		const profiles = Array.from({length: 20_000}, (_, index) => ({
			route: `route-${index}`,
			runTime: 10,
			calls: [{route: `route-${index + 1}`, count: 1}],
			isLeaf: false,
		}));
		graph.setProfiles('node-1', 'reads', profiles);
		expect(graph.costsOf('reads')('route-0', 'reads')).to.be.above(0);
		expect(graph.heldCostsOf('reads')('route-0', 'reads')).to.be.above(0);
		expect(graph.callsTo('reads')('route-0', 'reads')).to.be.above(0);
		expect(graph.isKnown('route-0', 'reads')).to.equal(false);
	});
});
