import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {idleLoad} from '../src/links/exchange.js';
import {applyLoad, createPeer, type Peer} from '../src/links/peer.js';
import type {PeerLink} from '../src/links/peer-link.js';
import type {StateMessage} from '../src/links/peer-message.js';
import {createServiceCandidates} from '../src/members/service-candidates.js';

describe('the candidates of a service', () => {
	// The list is kept between requests. Whatever it misses is a request that is
	// sent to a target that is gone, or a target that gets no requests.
	const clock = createVirtualClock();
	let isUsable = true;

	const stateOf = (isLeaving: boolean): StateMessage => ({
		kind: 'state',
		isStopping: false,
		isFollowing: false,
		service: 'reads',
		routes: [],
		load: idleLoad,
		target: {
			service: 'reads',
			targetId: 'target-1',
			startedAt: 1,
			sequence: 1,
			isLeaving,
			isReachable: true,
			slots: 10,
		},
	});

	const createFixture = (names: string[]) => {
		isUsable = true;
		const peers = new Map<string, Peer>();
		const link: PeerLink = {
			send: () => () => undefined,
			isUsable: () => isUsable,
			isSilent: () => false,
			silence: () => 0,
			outstanding: () => 0,
			isUnused: () => true,
			sendMessage: () => true,
			probe: () => false,
			retryNow: () => undefined,
			retire: () => undefined,
			close: () => undefined,
		};
		for (const node of names) {
			const member = {
				node,
				address: '127.0.0.1:1',
				dataCentre: 'east',
				service: 'reads',
				startedAt: 1,
			};
			const peer = createPeer(member, link, clock.now());
			peer.state = stateOf(false);
			peers.set(node, peer);
		}

		const candidates = createServiceCandidates(peers, {
			dataCentre: 'east',
			clock,
			onLoad(peer, load) {
				applyLoad(peer, load, clock.now());
			},
		});
		const list = (tried: string[] = []) =>
			candidates.list('reads', tried).map(({node}) => node);
		return {peers, candidates, list};
	};

	it('exclude the tried targets and those of other services', () => {
		const {candidates, list} = createFixture(['a', 'b', 'c']);
		expect(list(['b'])).to.deep.equal(['a', 'c']);
		expect(candidates.list('writes', [])).to.have.length(0);
	});

	it('exclude a target from the moment its link is unusable, and list it again afterwards', () => {
		const {list} = createFixture(['a']);
		expect(list()).to.deep.equal(['a']);
		isUsable = false;
		expect(list()).to.deep.equal([]);
		isUsable = true;
		expect(list()).to.deep.equal(['a']);
	});

	it('exclude a target from the moment it is leaving or its state is unknown', () => {
		const {peers, list} = createFixture(['a', 'b']);
		expect(list()).to.deep.equal(['a', 'b']);
		peers.get('a')!.state = stateOf(true);
		peers.get('b')!.state = undefined;
		expect(list()).to.deep.equal([]);
	});

	it('follow links that are opened and closed', () => {
		const {peers, candidates, list} = createFixture(['a', 'b']);
		expect(list()).to.deep.equal(['a', 'b']);
		peers.delete('a');
		candidates.invalidate();
		expect(list()).to.deep.equal(['b']);
	});

	it('have the load of the last report and the doubts of earlier outcomes', () => {
		const {peers, candidates} = createFixture(['a']);
		const [first] = candidates.list('reads', []);
		expect(first).to.include({occupancy: 0, isDoubtful: false});
		applyLoad(
			peers.get('a')!,
			{...idleLoad, occupancy: 0.7, failureShare: 0.2, runTime: 40},
			clock.now(),
		);
		for (let failure = 0; failure < 3; failure++) {
			first!.recordOutcome('failed', undefined);
		}

		const [second] = candidates.list('reads', []);
		expect(second).to.include({
			occupancy: 0.7,
			failureShare: 0.2,
			runTime: 40,
			isDoubtful: true,
		});
		expect(second).to.equal(first);
	});
});
