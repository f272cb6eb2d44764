import {expect} from 'chai';
import {createRouteTable} from '../src/configuration/route-table.js';
import type {Route} from '../src/configuration/route.js';
import {digestKey} from '../src/quotas/workspace.js';

const route = (changed: Partial<Route>): Route => ({
	name: 'route',
	host: 'shop.example',
	prefix: '/',
	isIdempotent: true,
	timeout: 1000,
	objective: 500,
	priority: 0,
	attempts: 2,
	isPublic: false,
	services: [{service: 'orders', weight: 1}],
	...changed,
});

const limits = {
	headerBytes: 1000,
	bodyBytes: 1000,
	headerTime: 1000,
	idleTime: 1000,
};

describe('createRouteTable', () => {
	const table = createRouteTable({
		version: 3,
		limits,
		routes: [
			route({name: 'short', prefix: '/orders/', priority: 2}),
			route({name: 'long', prefix: '/orders/new/', priority: 0}),
			route({name: 'other', host: 'other.example', prefix: '/', priority: 1}),
		],
	});

	it('finds the route with the longest prefix of the path', () => {
		expect(table.findRoute('shop.example', '/orders/new/1')?.name).to.equal(
			'long',
		);
		expect(table.findRoute('shop.example', '/orders/newer')?.name).to.equal(
			'short',
		);
		expect(table.findRoute('other.example', '/anything')?.name).to.equal(
			'other',
		);
	});

	it('finds no route for another host or path', () => {
		expect(table.findRoute('shop.example', '/orders')).to.equal(undefined);
		expect(table.findRoute('nobody.example', '/orders/')).to.equal(undefined);
	});

	it('ranks requests by the priority of their routes', () => {
		const urgencyOf = (host: string, path: string) =>
			table.urgencyOf(table.findRoute(host, path)!, undefined);
		expect(urgencyOf('shop.example', '/orders/new/')).to.equal(0);
		expect(urgencyOf('other.example', '/')).to.equal(1);
		expect(urgencyOf('shop.example', '/orders/')).to.equal(2);
	});

	describe('with workspaces', () => {
		const workspaceOf = (name: string, key: string, priority: number) => ({
			name,
			keyDigests: [digestKey(key)],
			priority,
			rate: 10,
			burst: 10,
		});
		const workspaces = [
			workspaceOf('urgent', 'key-1', 0),
			workspaceOf('usual', 'key-2', 4),
		];
		const routes = [
			route({name: 'book', prefix: '/book/', priority: 0}),
			route({name: 'look', prefix: '/look/', priority: 2}),
		];
		const shared = createRouteTable({version: 1, limits, routes, workspaces});

		it('finds the workspace of a key, and none for unknown keys', () => {
			expect(shared.findWorkspace('key-1')?.name).to.equal('urgent');
			expect(shared.findWorkspace('key-2')?.name).to.equal('usual');
			expect(shared.findWorkspace('key-3')).to.equal(undefined);
			expect(shared.findWorkspace('')).to.equal(undefined);
			expect(shared.findWorkspace(digestKey('key-1'))).to.equal(undefined);
		});

		it('ranks requests by the workspace first, then by the route', () => {
			const [book, look] = routes.map(({prefix}) =>
				shared.findRoute('shop.example', prefix)!,
			);
			const [urgent, usual] = workspaces;
			expect([
				shared.urgencyOf(book!, urgent),
				shared.urgencyOf(look!, urgent),
				shared.urgencyOf(book!, usual),
				shared.urgencyOf(look!, usual),
			]).to.deep.equal([0, 1, 2, 3]);
		});
	});
});
