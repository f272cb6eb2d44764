/**
 * The handshake of two nodes: each sends a hello with random bytes and signs
 * the other's with the shared secret.
 *
 * What goes wrong without it: whatever can reach the peer port can hand over
 * requests past the entry's checks, or spread members and configurations. One
 * notices members nobody started. The signature covers the signer's side and
 * name and the other's challenge, so a recorded or reflected one is of no use.
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
	/** Takes the next message of the other side. */
	receive(message: Message): Result<HandshakeStep, HandshakeFailure>;
};

/** What to do after a message: send one, or the peer is known. */
export type HandshakeStep =
	{kind: 'send'; message: Message} | {kind: 'done'; peer: PeerIdentity};

const challengeBytes = 16;

/** Creates one side; the identity may change between handshakes, so it is asked for. */
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
