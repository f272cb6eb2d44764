/** The response bodies that are sent over one link while they arrive from the target. */
import {streamWindow, type BodyStream} from '../bodies/body-stream.js';
import {createBodySender, type BodySender} from './body-sender.js';
import type {PeerChannel} from './peer-channel.js';

/** The bodies that are being sent, by exchange. */
export type OutgoingStreams = {
	/** Sends a body as it arrives and as the peer has memory for it. */
	send(exchange: number, stream: BodyStream): void;
	/** The peer has memory for so many further bytes of a body. */
	grant(exchange: number, bytes: number): void;
	/** Ends a body, if it is being sent, at its source too. */
	cancel(exchange: number): void;
	/** Ends all bodies. */
	close(): void;
	size(): number;
};

/** Creates an empty collection. */
export function createOutgoingStreams(channel: PeerChannel): OutgoingStreams {
	const streams = new Map<number, {sender: BodySender; stream: BodyStream}>();

	const cancel = (exchange: number) => {
		const found = streams.get(exchange);
		streams.delete(exchange);
		found?.sender.cancel();
		found?.stream.cancel();
	};

	return {
		send(exchange, stream) {
			const sender = createBodySender(channel, exchange, streamWindow, {
				onSent: stream.release,
				onDone() {
					streams.delete(exchange);
				},
			});
			streams.set(exchange, {sender, stream});
			stream.read({
				onPart: sender.push,
				onEnd: sender.end,
				onCut: sender.cut,
			});
		},
		grant(exchange, bytes) {
			streams.get(exchange)?.sender.grant(bytes);
		},
		cancel,
		close() {
			for (const exchange of streams.keys()) {
				cancel(exchange);
			}
		},
		size: () => streams.size,
	};
}
