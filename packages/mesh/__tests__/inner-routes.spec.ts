import {expect} from 'chai';
import {createInnerRoutes} from '../src/decisions/admission/inner-routes.js';

describe('inner routes', () => {
	const createRoutes = () => {
		const routes = createInnerRoutes('orders');
		routes.addPeerRoutes('history', ['buy', 'look', 'ledger']);
		routes.addPeerRoutes('media', ['buy', 'look', 'queue']);
		routes.addPeerRoutes('board', ['buy', 'look']);
		return routes;
	};

	it('are those requested only at the nodes of one service', () => {
		const routes = createRoutes();
		expect(routes.isInner('ledger')).to.equal(true);
		expect(routes.isInner('queue')).to.equal(true);
		expect(routes.isInner('buy')).to.equal(false);
	});

	it('do not include unknown routes, or any route while few services are known', () => {
		expect(createRoutes().isInner('new')).to.equal(false);
		const routes = createInnerRoutes('orders');
		routes.addPeerRoutes('history', ['ledger']);
		expect(routes.isInner('ledger')).to.equal(false);
	});

	it('are announced once, and not for single requests', () => {
		const routes = createRoutes();
		const announced = Array.from({length: 10}, () => routes.record('photos'));
		expect(announced.filter(Boolean)).to.have.length(1);
		expect(announced[0]).to.equal(false);
		expect(routes.requestedRoutes()).to.deep.equal(['photos']);
	});
});
