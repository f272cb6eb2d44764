import {expect} from 'chai';
import {createDecisionHistory} from '../src/index.js';

describe('decision history', () => {
	it('returns the decisions about a request, oldest first', () => {
		const memory = createDecisionHistory();
		memory.record({
			request: 'r1',
			name: 'routed',
			at: 5,
			reason: 'fewest in flight',
			details: {node: 'b'},
		});
		memory.record({request: 'r2', name: 'routed', at: 5, reason: 'x'});
		memory.record({request: 'r1', name: 'retried', at: 5, reason: 'y'});
		memory.record({request: 'r1', name: 'routed', at: 5, reason: 'z'});
		expect(memory.explain('r1')).to.deep.equal([
			{
				at: '1970-01-01T00:00:00.005Z',
				event: 1101,
				name: 'routed',
				reason: 'fewest in flight',
				details: {node: 'b'},
			},
			{
				at: '1970-01-01T00:00:00.005Z',
				event: 1201,
				name: 'retried',
				reason: 'y',
				details: {},
			},
			{
				at: '1970-01-01T00:00:00.005Z',
				event: 1101,
				name: 'routed',
				reason: 'z',
				details: {},
			},
		]);
	});

	it('retains a refusal while ordinary decisions evict each other', () => {
		// An operator looks up a refusal a minute later. On a busy node thousands
		// of ordinary decisions have been recorded since; in one shared buffer
		// they would have evicted the refusal.
		const memory = createDecisionHistory({ordinary: 10, notable: 10});
		memory.record({
			request: 'refused',
			name: 'admissionRefused',
			at: 0,
			reason: 'over its share',
		});
		for (let at = 1; at <= 100; at++) {
			memory.record({request: `r${at}`, name: 'routed', at, reason: 'x'});
		}

		expect(memory.explain('refused')).to.have.length(1);
		expect(memory.explain('r90')).to.have.length(0);
		expect(memory.explain('r91')).to.have.length(1);
	});

	it('truncates a long reason', () => {
		const memory = createDecisionHistory();
		memory.record({
			request: 'r',
			name: 'routed',
			at: 0,
			reason: 'x'.repeat(10_000),
		});
		expect(memory.explain('r')[0]?.reason).to.have.length(300);
	});
});
