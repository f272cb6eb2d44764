/** An authenticated connection to a peer, independent of the transport. */
import type {Message} from '@egretspoke/protocol';

/** The identity of the peer, from the handshake. */
export type PeerIdentity = {
	node: string;
	incarnation: number;
	dataCentre: string;
};

/** An open channel. Messages arrive in order, each at most once, until it closes. */
export type MessageChannel = {
	peer: PeerIdentity;
	/** False when the channel is closed or its buffer is full; nothing was sent then. */
	send(message: Message): boolean;
	/** Ends when the channel closes. */
	receive(): AsyncIterable<Message>;
	close(reason: string): void;
};

/** Opens channels to peers and accepts those that peers open. */
export type PeerTransport = {
	/** Undefined when the peer can't be reached or refuses the handshake. */
	connect(
		address: string,
		signal: AbortSignal,
	): Promise<MessageChannel | undefined>;
	/** Called for each channel that a peer opened. */
	accept(handler: (channel: MessageChannel) => void): void;
	close(): Promise<void>;
};
