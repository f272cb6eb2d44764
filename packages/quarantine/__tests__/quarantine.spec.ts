import {createVirtualClock, type VirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createQuarantine, type Quarantine} from '../src/quarantine.js';
import {identifyRequest} from '../src/request-identity.js';
import type {Suspect} from '../src/suspect.js';

const parts = {
	method: 'GET',
	host: 'shop.example',
	path: '/list',
	caller: '',
	body: new Uint8Array(),
};
const identity = identifyRequest(parts);

describe('the quarantines of several nodes', () => {
	let clock: VirtualClock;
	let nodes: Quarantine[];
	let published: Suspect[][];

	beforeEach(() => {
		clock = createVirtualClock();
		published = [];
		nodes = Array.from({length: 4}, (_, index) =>
			createQuarantine({
				clock,
				broadcast(suspects) {
					published.push(suspects);
					for (const [other, node] of nodes.entries()) {
						if (other !== index) {
							node.receive(suspects);
						}
					}
				},
				gossip: () => undefined,
				persist: () => undefined,
				onQuarantined: () => undefined,
			}),
		);
	});

	const lookUp = (node: Quarantine) =>
		node.lookUp(parts.path, 0, () => parts)?.crashes ?? 0;

	const crash = (node: Quarantine) => {
		clock.advanceTo(clock.now() + 1000);
		const run = {identity, startedAt: clock.now(), crashes: lookUp(node)};
		clock.advanceTo(clock.now() + 10);
		node.recordCrash([run]);
	};

	const answer = (node: Quarantine) => {
		clock.advanceTo(clock.now() + 10);
		node.recordAnswer(parts.path, 0, () => parts);
	};

	// Three crashes of one target put a request in quarantine at all nodes, although the others answered it all the time.
	it('do not add up the crashes of one target while others answer the request', () => {
		const [crashing, ...others] = nodes as [Quarantine, ...Quarantine[]];
		for (let index = 0; index < 5; index++) {
			crash(crashing);
			answer(others[0]!);
			answer(others[1]!);
			expect(Math.max(...nodes.map((node) => lookUp(node)))).to.be.below(3);
		}
	});

	it('still quarantine a request that no target answers', () => {
		crash(nodes[0]!);
		crash(nodes[1]!);
		crash(nodes[2]!);
		expect(nodes.map((node) => lookUp(node))).to.deep.equal([3, 3, 3, 3]);
	});

	it('publish nothing when a request with a single crash is answered', () => {
		crash(nodes[0]!);
		answer(nodes[1]!);
		expect(published).to.have.length(1);
	});

	it('publish a clearing once', () => {
		crash(nodes[0]!);
		answer(nodes[1]!);
		crash(nodes[0]!);
		expect(published).to.have.length(3);
		expect(published[2]).to.deep.equal([{identity, round: 1, crashes: 0}]);
		expect(nodes.map((node) => lookUp(node))).to.deep.equal([0, 0, 0, 0]);
	});
});
