/** Channels between cores of one process, without delay or loss. */
import type {Message} from '@egretspoke/protocol';
import type {
	MessageChannel,
	PeerIdentity,
	PeerTransport,
} from '../src/message-channel.js';
import {createMessageQueue} from '../src/message-queue.js';

/** Creates the transports of nodes that reach each other by name. */
export function createLocalNetwork() {
	const handlers = new Map<string, (channel: MessageChannel) => void>();
	const identities = new Map<string, PeerIdentity>();

	const createPair = (left: PeerIdentity, right: PeerIdentity) => {
		const toLeft = createMessageQueue<Message>();
		const toRight = createMessageQueue<Message>();
		const close = () => {
			toLeft.end();
			toRight.end();
		};

		const create = (
			peer: PeerIdentity,
			out: typeof toLeft,
			incoming: typeof toLeft,
		): MessageChannel => ({
			peer,
			send(message) {
				out.push(message);
				return true;
			},
			receive: () => incoming.read(),
			close,
		});
		return {
			atLeft: create(right, toRight, toLeft),
			atRight: create(left, toLeft, toRight),
		};
	};

	return (identity: PeerIdentity): PeerTransport => {
		identities.set(identity.node, identity);
		return {
			async connect(address) {
				const peer = identities.get(address);
				const handler = handlers.get(address);
				if (!peer || !handler) {
					return undefined;
				}

				const {atLeft, atRight} = createPair(identity, peer);
				handler(atRight);
				return atLeft;
			},
			accept(handler) {
				handlers.set(identity.node, handler);
			},
			async close() {
				handlers.delete(identity.node);
			},
		};
	};
}
