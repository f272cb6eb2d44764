import {expect} from 'chai';
import {hashText} from '@egretspoke/shared';
import {identifyRequest, pathHashOf, type RequestParts} from '../src/index.js';

const parts: RequestParts = {
	caller: 'gulf',
	method: 'POST',
	host: 'shop.example',
	path: '/pay/1',
	body: new TextEncoder().encode('x'),
};

describe('the identity of a request', () => {
	it('is the same for a repeat', () => {
		expect(identifyRequest({...parts})).to.equal(identifyRequest(parts));
	});

	for (const [part, changed] of [
		['caller', {caller: 'other'}],
		['method', {method: 'PUT'}],
		['host', {host: 'other.example'}],
		['path', {path: '/pay/2'}],
		['body', {body: new Uint8Array()}],
	] as Array<[string, Partial<RequestParts>]>) {
		it(`differs with the ${part}`, () => {
			const other = identifyRequest({...parts, ...changed});
			expect(other).not.to.equal(identifyRequest(parts));
		});
	}

	it('begins with the hash of the path', () => {
		expect(pathHashOf(identifyRequest(parts))).to.equal(hashText(parts.path));
	});

	it('of another writer has no path', () => {
		expect(pathHashOf('?')).to.equal(0);
	});
});
