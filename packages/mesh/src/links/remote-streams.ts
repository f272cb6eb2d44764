/**
 * The response bodies that arrive over one link in parts. The peer sends no more
 * of a body than its reader here has passed on, plus a window.
 */
import {
	createBodyStream,
	streamWindow,
	type BodyStream,
	type OpenBodyStream,
} from '../bodies/body-stream.js';
import type {MemoryBudget} from '../decisions/memory/memory-budget.js';
import {unknownSize, type BodyPart} from './compact-message.js';
import type {PeerChannel} from './peer-channel.js';

/** The bodies that are arriving, by exchange. */
export type RemoteStreams = {
	/** Creates the stream of a body; its size may be `unknownSize`. */
	open(channel: PeerChannel, exchange: number, size: number): BodyStream;
	receive(part: BodyPart): void;
	/** Cuts off the bodies that arrive over a channel. */
	cut(channel: PeerChannel): void;
	/** Whether a body arrives over the channel. */
	has(channel: PeerChannel): boolean;
	size(): number;
};

/** Creates an empty collection; `onEnd` is called when a body needs its channel no longer. */
export function createRemoteStreams(
	budget: MemoryBudget,
	onEnd: (channel: PeerChannel) => void,
): RemoteStreams {
	const streams = new Map<
		number,
		{channel: PeerChannel; stream: OpenBodyStream}
	>();

	const remove = (exchange: number, channel: PeerChannel) => {
		streams.delete(exchange);
		onEnd(channel);
	};

	return {
		open(channel, exchange, size) {
			let credit = 0;
			const stream = createBodyStream(
				size === unknownSize ? undefined : size,
				budget,
				{
					// The peer sends no more than it was granted.
					setPaused: () => undefined,
					onRelease(bytes) {
						credit += bytes;
						if (credit >= streamWindow / 2) {
							channel.send({kind: 'credit', exchange, bytes: credit});
							credit = 0;
						}
					},
					cancel() {
						channel.send({kind: 'cancel', exchange});
						remove(exchange, channel);
					},
				},
			);
			streams.set(exchange, {channel, stream});
			return stream;
		},
		receive({exchange, bytes, rest}) {
			const found = streams.get(exchange);
			if (!found) {
				return;
			}

			const {stream, channel} = found;
			if (bytes.byteLength > 0) {
				stream.push(bytes);
			}

			if (rest !== 'more') {
				remove(exchange, channel);
				if (rest === 'last') {
					stream.end();
				} else {
					stream.cut();
				}
			}
		},
		cut(channel) {
			for (const [exchange, {channel: own, stream}] of streams) {
				if (own === channel) {
					streams.delete(exchange);
					stream.cut();
				}
			}
		},
		has(channel) {
			for (const {channel: own} of streams.values()) {
				if (own === channel) {
					return true;
				}
			}

			return false;
		},
		size: () => streams.size,
	};
}
