/**
 * The handshake of two nodes: each sends a hello with random bytes and signs
 * the other's with the shared secret.
 *
 * Without it, any process that can reach the peer port could hand over requests
 * past the checks of the entry, or inject members and configurations, which
 * shows as members that were never started.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {protocolVersion, type Message} from '@egretspoke/protocol';
import type {PeerIdentity} from './message-channel.js';

/** Which end of the connection a node is. */
export type HandshakeSide = 'opener' | 'acceptor';

/** Why a handshake failed. */
export type HandshakeFailure =
	'nonsense' | 'version' | 'signature' | 'self' | 'closed' | 'timeout';

/** One side's progress through a handshake. */
export type Handshake = {
	hello: Extract<Message, {type: 'hello'}>;
	/** Handles the next message of the other side. */
	receive(message: Message): Result<HandshakeStep, HandshakeFailure>;
};

/** The next step after a message: send one, or finish with the authenticated peer. */
export type HandshakeStep =
	{kind: 'send'; message: Message} | {kind: 'done'; peer: PeerIdentity};

const challengeBytes = 16;

/**
 * Creates one side of a handshake. The identity is passed for each handshake
 * because it may change between them.
 */
export function createHandshake(
	side: HandshakeSide,
	self: PeerIdentity,
	secret: string,
): Handshake {
	const challenge = randomBytes(challengeBytes).toString('hex');
	const otherSide = side === 'opener' ? 'acceptor' : 'opener';
	let peer: PeerIdentity | undefined;

	return {
		hello: {type: 'hello', version: protocolVersion, ...self, challenge},
		receive(message) {
			if (message.type === 'hello' && !peer) {
				if (message.version !== protocolVersion) {
					return err('version');
				}

				if (message.node === self.node) {
					return err('self');
				}

				const {node, incarnation, dataCentre} = message;
				peer = {node, incarnation, dataCentre};
				const signature = sign(secret, side, self, message.challenge);
				return ok({kind: 'send', message: {type: 'proof', signature}});
			}

			if (message.type === 'proof' && peer) {
				const expected = sign(secret, otherSide, peer, challenge);
				return isSame(expected, message.signature)
					? ok({kind: 'done', peer})
					: err('signature');
			}

			return err('nonsense');
		},
	};
}

/**
 * The signature covers the signer's side and name and the other's challenge, so
 * a recorded or reflected signature is useless.
 */
function sign(
	secret: string,
	side: HandshakeSide,
	signer: PeerIdentity,
	challenge: string,
): string {
	return createHmac('sha256', secret)
		.update(
			JSON.stringify([
				side,
				signer.node,
				signer.incarnation,
				signer.dataCentre,
				challenge,
			]),
		)
		.digest('hex');
}

function isSame(left: string, right: string): boolean {
	const leftBytes = Buffer.from(left);
	const rightBytes = Buffer.from(right);
	return (
		leftBytes.length === rightBytes.length &&
		timingSafeEqual(leftBytes, rightBytes)
	);
}
