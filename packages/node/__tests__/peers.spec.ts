import {createSupervisor, createVirtualClock} from '@egretspoke/shared';
import type {Message} from '@egretspoke/protocol';
import {expect} from 'chai';
import type {MessageChannel} from '../src/message-channel.js';
import {silentReporter, type NodeEvent} from '../src/node-reporter.js';
import {createPeers} from '../src/peers.js';

describe('the peers of a node', () => {
	// Guards against a connection that stays open without a reader, on which a peer calls until its deadlines.
	it('close a connection whose messages can not be handled', async () => {
		const clock = createVirtualClock();
		const events: NodeEvent[] = [];
		const closes: string[] = [];
		let accept: (channel: MessageChannel) => void = () => undefined;
		const failures: string[] = [];
		const supervisor = createSupervisor(clock, ({path}) => {
			failures.push(path);
		});
		const peers = createPeers({
			self: 'vm-1',
			clock,
			supervisor,
			nodeByAddress: () => undefined,
			transport: {
				connect: async () => undefined,
				accept(handler) {
					accept = handler;
				},
				close: async () => undefined,
			},
			services: {
				reporter: {
					...silentReporter,
					recordEvent(event) {
						events.push(event);
					},
				},
				async call() {
					throw new Error('not used');
				},
				probe() {
					throw new Error('broken');
				},
				configurationBody: () => undefined,
				receiveSuspects: () => undefined,
				initialMessage: () => undefined,
			},
		});
		accept({
			peer: {node: 'vm-2', incarnation: 1, dataCentre: 'a'},
			send: () => true,
			async *receive(): AsyncIterable<Message> {
				yield {
					type: 'probe',
					sequence: 1,
					members: [],
					configurationVersion: 0,
				};
			},
			close: (reason) => closes.push(reason),
		});
		expect(peers.count()).to.equal(1);
		await clock.runTo(10_000);
		expect(closes).to.deep.equal(['failed']);
		expect(peers.count()).to.equal(0);
		expect(failures).to.deep.equal([]);
		expect(events.map(({name}) => name)).to.deep.equal([
			'peerConnected',
			'taskFailed',
			'peerLost',
		]);
	});
});
