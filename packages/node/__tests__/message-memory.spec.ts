import {Buffer} from 'node:buffer';
import process from 'node:process';
import {expect} from 'chai';
import {decodeMessage} from '@egretspoke/protocol';

describe('the decoder of messages between nodes', () => {
	// Guards against a few bytes, also of a peer that has not proven itself, that take the memory of the process.
	it('takes no memory for lists that are longer than the message', () => {
		const lists = Buffer.alloc(50);
		for (let index = 0; index < 50; index += 5) {
			lists.set([0xdd, 1], index);
		}

		const before = process.memoryUsage().rss;
		expect(decodeMessage(lists).isErr()).to.equal(true);
		expect(process.memoryUsage().rss - before).to.be.below(50_000_000);
	});
});
