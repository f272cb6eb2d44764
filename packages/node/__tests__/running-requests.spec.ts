import {expect} from 'chai';
import {createRunningRequests} from '../src/running-requests.js';

function createParent(spareAttempts: number) {
	const running = createRunningRequests();
	running.add({
		id: 'parent',
		requestClass: 'deferrable',
		caller: 'boat-owner-9',
		deadline: 500,
		spareAttempts,
		callsMade: new Map(),
		signal: new AbortController().signal,
	});
	const allocate = (operation: string) => {
		const allocation = running.allocate('parent', {
			service: 'loft-queues',
			operation,
		});
		return allocation === 'spent' ? 0 : (allocation?.attempts ?? Number.NaN);
	};

	return {running, allocate};
}

describe('running requests', () => {
	it('allocates nothing for a request that is not running here', () => {
		const {running} = createParent(0);
		const call = {service: 's', operation: 'GET /'};
		expect(running.allocate('other', call)).to.equal(undefined);
	});

	it('passes on the class of the first entry, the first caller and the deadline', () => {
		const {running} = createParent(0);
		const allocation = running.allocate('parent', {
			service: 's',
			operation: 'GET /',
		});
		expect(allocation).to.include({
			requestClass: 'deferrable',
			caller: 'boat-owner-9',
			deadline: 500,
		});
	});

	describe('with a target that makes its own retries', () => {
		it('allocates its repeats nothing beyond the pool', () => {
			// The target of a middle layer calls a slow service three times. Without
			// the pool each try would start with fresh attempts, and the slow service
			// would get three times the load.
			const {allocate} = createParent(1);
			const allocated = [
				allocate('GET /q'),
				allocate('GET /q'),
				allocate('GET /q'),
				allocate('GET /q'),
			];
			expect(allocated).to.deep.equal([2, 0, 0, 0]);
		});

		it('lets a repeat use what is left', () => {
			const {allocate} = createParent(3);
			expect([
				allocate('GET /q'),
				allocate('GET /q'),
				allocate('GET /q'),
			]).to.deep.equal([3, 1, 0]);
		});
	});

	it('leaves siblings their first attempts and a part of the pool', () => {
		const {allocate} = createParent(2);
		expect([
			allocate('GET /a'),
			allocate('GET /b'),
			allocate('GET /c'),
		]).to.deep.equal([2, 2, 1]);
	});
});
