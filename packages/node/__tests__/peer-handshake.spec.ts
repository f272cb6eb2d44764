import {expect} from 'chai';
import type {Message} from '@egretspoke/protocol';
import {createHandshake} from '../src/peer-handshake.js';

const opener = {node: 'vm-1', incarnation: 1, dataCentre: 'a'};
const acceptor = {node: 'vm-2', incarnation: 4, dataCentre: 'b'};

function sentBy(
	step: ReturnType<ReturnType<typeof createHandshake>['receive']>,
): Message {
	const value = step._unsafeUnwrap();
	if (value.kind !== 'send') {
		throw new Error('expected a message to send');
	}

	return value.message;
}

describe('peer handshake', () => {
	it('tells each side who the other is', () => {
		const left = createHandshake('opener', opener, 'secret');
		const right = createHandshake('acceptor', acceptor, 'secret');
		const leftProof = sentBy(left.receive(right.hello));
		const rightProof = sentBy(right.receive(left.hello));
		expect(left.receive(rightProof)._unsafeUnwrap()).to.deep.equal({
			kind: 'done',
			peer: acceptor,
		});
		expect(right.receive(leftProof)._unsafeUnwrap()).to.deep.equal({
			kind: 'done',
			peer: opener,
		});
	});

	describe('with a peer that may not come in', () => {
		it('refuses another secret', () => {
			// Somebody who knows the port but not the secret opens a connection.
			// Without the proof its forged members would enter every node's view.
			const left = createHandshake('opener', opener, 'guessed');
			const right = createHandshake('acceptor', acceptor, 'secret');
			const proof = sentBy(left.receive(right.hello));
			right.receive(left.hello);
			expect(right.receive(proof)._unsafeUnwrapErr()).to.equal('signature');
		});

		it('refuses its own proof sent back', () => {
			// An attacker without the secret echoes what the node itself signed.
			const right = createHandshake('acceptor', acceptor, 'secret');
			const {hello} = right;
			const forged: Message = {...hello, ...opener};
			const proof = sentBy(right.receive(forged));
			expect(right.receive(proof)._unsafeUnwrapErr()).to.equal('signature');
		});

		it('refuses another version of the protocol', () => {
			// During an upgrade two versions meet; half-understood messages would
			// be worse than a closed connection.
			const right = createHandshake('acceptor', acceptor, 'secret');
			const left = createHandshake('opener', opener, 'secret');
			const old: Message = {...left.hello, version: 0};
			expect(right.receive(old)._unsafeUnwrapErr()).to.equal('version');
		});

		it('refuses a proof before a hello', () => {
			const right = createHandshake('acceptor', acceptor, 'secret');
			const early: Message = {type: 'proof', signature: ''};
			expect(right.receive(early)._unsafeUnwrapErr()).to.equal('nonsense');
		});

		it('refuses itself', () => {
			// A node whose advertised address leads to itself would otherwise pass
			// requests round for ever.
			const right = createHandshake('acceptor', acceptor, 'secret');
			const left = createHandshake('opener', acceptor, 'secret');
			expect(right.receive(left.hello)._unsafeUnwrapErr()).to.equal('self');
		});
	});
});
