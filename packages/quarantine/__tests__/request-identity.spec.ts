import {expect} from 'chai';
import {
	hashQuickly,
	identifyRequest,
	quickHashOf,
	type RequestParts,
} from '../src/index.js';

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

	it('starts with the quick hash', () => {
		expect(quickHashOf(identifyRequest(parts))).to.equal(
			hashQuickly(parts.path, parts.body.byteLength),
		);
	});

	it('has no quick hash when it is malformed', () => {
		expect(quickHashOf('?')).to.equal(0);
	});
});
