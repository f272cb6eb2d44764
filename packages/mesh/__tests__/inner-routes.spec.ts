import {expect} from 'chai';
import {createInnerRoutes} from '../src/decisions/inner-routes.js';

describe('the knowledge of inner routes', () => {
	const createKnown = () => {
		const routes = createInnerRoutes('orders');
		routes.addPeerRoutes('history', ['buy', 'look', 'ledger']);
		routes.addPeerRoutes('media', ['buy', 'look', 'queue']);
		routes.addPeerRoutes('board', ['buy', 'look']);
		return routes;
	};

	it('takes for calls what only the VMs of one service ask for', () => {
		const routes = createKnown();
		expect(routes.isInner('ledger')).to.equal(true);
		expect(routes.isInner('queue')).to.equal(true);
		expect(routes.isInner('buy')).to.equal(false);
	});

	it('says nothing of routes that nobody asked for, or while few services are known', () => {
		expect(createKnown().isInner('new')).to.equal(false);
		const routes = createInnerRoutes('orders');
		routes.addPeerRoutes('history', ['ledger']);
		expect(routes.isInner('ledger')).to.equal(false);
	});

	it('has a route told once, and not for single requests', () => {
		const routes = createKnown();
		const told = Array.from({length: 10}, () => routes.record('photos'));
		expect(told.filter(Boolean)).to.have.length(1);
		expect(told[0]).to.equal(false);
		expect(routes.requestedRoutes()).to.deep.equal(['photos']);
	});
});
