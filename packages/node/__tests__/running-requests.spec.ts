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
	const allot = (operation: string) => {
		const allotment = running.allocate('parent', {
			service: 'loft-queues',
			operation,
		});
		return allotment === 'spent' ? 0 : (allotment?.attempts ?? Number.NaN);
	};

	return {running, allot};
}

describe('running requests', () => {
	it('knows nothing of a request that does not run here', () => {
		const {running} = createParent(0);
		const call = {service: 's', operation: 'GET /'};
		expect(running.allocate('other', call)).to.equal(undefined);
	});

	it('passes on the stamped class, the first caller and the deadline', () => {
		const {running} = createParent(0);
		const allotment = running.allocate('parent', {
			service: 's',
			operation: 'GET /',
		});
		expect(allotment).to.include({
			requestClass: 'deferrable',
			caller: 'boat-owner-9',
			deadline: 500,
		});
	});

	describe('with a target that retries by itself', () => {
		it('gives its repeats nothing beyond the pool', () => {
			// The target of a middle layer calls a slow service three times by
			// itself. Without the pool each try would start with fresh attempts,
			// and the slow service would get three times the load.
			const {allot} = createParent(1);
			const given = [
				allot('GET /q'),
				allot('GET /q'),
				allot('GET /q'),
				allot('GET /q'),
			];
			expect(given).to.deep.equal([2, 0, 0, 0]);
		});

		it('lets a repeat use what is left', () => {
			const {allot} = createParent(3);
			expect([allot('GET /q'), allot('GET /q'), allot('GET /q')]).to.deep.equal(
				[3, 1, 0],
			);
		});
	});

	it('leaves siblings their first attempts and a part of the pool', () => {
		const {allot} = createParent(2);
		expect([allot('GET /a'), allot('GET /b'), allot('GET /c')]).to.deep.equal([
			2, 2, 1,
		]);
	});
});
