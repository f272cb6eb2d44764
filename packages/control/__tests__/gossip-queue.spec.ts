import {expect} from 'chai';
import {createGossipQueue} from '../src/gossip-queue.js';

describe('gossip queue', () => {
	it('tells urgent news first, then those that were told least', () => {
		const queue = createGossipQueue();
		queue.add('a', false);
		queue.add('b', false);
		queue.add('c', true);
		expect(queue.take(2, 3)).to.deep.equal(['c', 'a']);
		queue.add('d', false);
		expect(queue.take(4, 3)).to.deep.equal(['c', 'b', 'd', 'a']);
	});

	it('tells each a bounded number of times, ends oftener than starts', () => {
		// Without a bound every message would be full for ever; with one that is too
		// small, a member that leaves would go on getting work from those who missed
		// it.
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

	it('tells a record anew from the beginning', () => {
		const queue = createGossipQueue();
		queue.add('a', true);
		queue.take(1, 3);
		queue.add('a', false);
		expect(queue.size()).to.equal(1);
		const batchSizes = Array.from({length: 10}, () => queue.take(1, 3).length);
		expect(batchSizes.filter(Boolean)).to.have.length(4);
	});
});
