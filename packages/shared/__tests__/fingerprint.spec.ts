import {expect} from 'chai';
import {fingerprintRequest} from '../src/index.js';

describe('fingerprint', () => {
	it('depends on each part of a request', () => {
		const parts = {
			caller: 'roster',
			method: 'POST',
			path: '/book',
			body: new TextEncoder().encode('x'),
		};
		const prints = [
			parts,
			{...parts, caller: 'other'},
			{...parts, method: 'PUT'},
			{...parts, path: '/books'},
			{...parts, body: new Uint8Array()},
		].map((value) => fingerprintRequest(value));
		expect(new Set(prints).size).to.equal(prints.length);
		expect(fingerprintRequest({...parts})).to.equal(prints[0]);
	});
});
