import {expect} from 'chai';
import {createGossipQueue} from '../src/gossip-queue.js';

describe('gossip queue', () => {
	it('sends urgent records first, then those sent least often', () => {
		const queue = createGossipQueue();
		queue.add('a', false);
		queue.add('b', false);
		queue.add('c', true);
		expect(queue.take(2, 3)).to.deep.equal(['c', 'a']);
		queue.add('d', false);
		expect(queue.take(4, 3)).to.deep.equal(['c', 'b', 'd', 'a']);
	});

	it('sends each record a bounded number of times, ends more often than starts', () => {
		// Without a bound, every message would always be full. With too small a bound,
		// a leaving member would keep receiving requests from nodes that missed its
		// record.
		const queue = createGossipQueue();
		queue.add('start', false);
		queue.add('end', true);
		const times = {start: 0, end: 0};
		while (queue.size() > 0) {
			for (const node of queue.take(8, 570)) {
				times[node as 'start' | 'end']++;
			}
		}

		expect(times).to.deep.equal({start: 5, end: 19});
	});

	it('restarts the count of a record that changes', () => {
		const queue = createGossipQueue();
		queue.add('a', true);
		queue.take(1, 3);
		queue.add('a', false);
		expect(queue.size()).to.equal(1);
		const batchSizes = Array.from({length: 10}, () => queue.take(1, 3).length);
		expect(batchSizes.filter(Boolean)).to.have.length(4);
	});
});
