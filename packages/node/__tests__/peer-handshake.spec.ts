import {expect} from 'chai';
import type {Message} from '@egretspoke/protocol';
import {createHandshake} from '../src/peer-handshake.js';

const opener = {node: 'vm-1', incarnation: 1, dataCentre: 'a'};
const acceptor = {node: 'vm-2', incarnation: 4, dataCentre: 'b'};

function getSentMessage(
	step: ReturnType<ReturnType<typeof createHandshake>['receive']>,
): Message {
	const value = step._unsafeUnwrap();
	if (value.kind !== 'send') {
		throw new Error('expected a message to send');
	}

	return value.message;
}

describe('peer handshake', () => {
	it('gives each side the identity of the other', () => {
		const left = createHandshake('opener', opener, 'secret');
		const right = createHandshake('acceptor', acceptor, 'secret');
		const leftProof = getSentMessage(left.receive(right.hello));
		const rightProof = getSentMessage(right.receive(left.hello));
		expect(left.receive(rightProof)._unsafeUnwrap()).to.deep.equal({
			kind: 'done',
			peer: acceptor,
		});
		expect(right.receive(leftProof)._unsafeUnwrap()).to.deep.equal({
			kind: 'done',
			peer: opener,
		});
	});

	describe('with a peer that must be refused', () => {
		it('refuses another secret', () => {
			// A process that has the port but not the secret opens a connection.
			// Without the proof, members that it forges would reach every node.
			const left = createHandshake('opener', opener, 'guessed');
			const right = createHandshake('acceptor', acceptor, 'secret');
			const proof = getSentMessage(left.receive(right.hello));
			right.receive(left.hello);
			expect(right.receive(proof)._unsafeUnwrapErr()).to.equal('signature');
		});

		it('refuses its own proof sent back', () => {
			// An attacker without the secret returns what the node itself signed.
			const right = createHandshake('acceptor', acceptor, 'secret');
			const {hello} = right;
			const forged: Message = {...hello, ...opener};
			const proof = getSentMessage(right.receive(forged));
			expect(right.receive(proof)._unsafeUnwrapErr()).to.equal('signature');
		});

		it('refuses another version of the protocol', () => {
			// During an upgrade two versions meet; partly understood messages would
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
			// A node whose advertised address leads to itself would otherwise forward
			// requests to itself in a loop.
			const right = createHandshake('acceptor', acceptor, 'secret');
			const left = createHandshake('opener', acceptor, 'secret');
			expect(right.receive(left.hello)._unsafeUnwrapErr()).to.equal('self');
		});
	});
});
