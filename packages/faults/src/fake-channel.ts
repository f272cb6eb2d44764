/** One end of a channel between two nodes. */
import {decodeMessage, encodeMessage, type Message} from '@egretspoke/protocol';
import type {MessageChannel, PeerIdentity} from '@egretspoke/node';
import type {Clock} from '@egretspoke/shared';
import type {ProcessExecution} from './process-execution.js';

/** The link that both ends share. */
export type Link = {
	clock: Clock;
	/** Returns a random one-way delay in milliseconds. */
	drawDelay(): number;
	isCut(): boolean;
};

/** A channel end with the operations of the simulated network. */
export type ChannelEnd = MessageChannel & {
	connect(other: ChannelEnd): void;
	/** Delivers a message from the network; undefined closes the channel. */
	deliver(message: Uint8Array | undefined): void;
	/** Drops the messages in transit and closes this end. */
	break(): void;
};

/** Interval at which a partitioned link is checked again. */
const cutPollIntervalMs = 20;

/** Creates an unconnected end. */
export function createChannelEnd(
	link: Link,
	peer: PeerIdentity,
	execution: ProcessExecution,
): ChannelEnd {
	const {clock} = link;
	const inbox: Message[] = [];
	let inTransit: Array<{at: number; message: Uint8Array | undefined}> = [];
	let other: ChannelEnd | undefined;
	let isOpen = true;
	let isEnded = false;
	let wake: (() => void) | undefined;

	const wakeReceiver = () => {
		wake?.();
		wake = undefined;
	};

	const waitForWake = async () =>
		new Promise<void>((resolve) => {
			wake = resolve;
		});

	const end = () => {
		isOpen = false;
		isEnded = true;
		wakeReceiver();
	};

	const deliverDueMessages = () => {
		const first = inTransit[0];
		if (!first) {
			return;
		}

		if (link.isCut()) {
			clock.setTimer(cutPollIntervalMs, deliverDueMessages);
			return;
		}

		if (first.at > clock.now()) {
			clock.setTimer(first.at - clock.now(), deliverDueMessages);
			return;
		}

		inTransit.shift();
		other?.deliver(first.message);
		deliverDueMessages();
	};

	const enqueue = (message: Uint8Array | undefined) => {
		const last = inTransit.at(-1)?.at ?? 0;
		const at = Math.max(last, clock.now() + link.drawDelay());
		inTransit.push({at, message});
		if (inTransit.length === 1) {
			deliverDueMessages();
		}
	};

	return {
		peer,
		connect(otherEnd) {
			other = otherEnd;
		},
		send(message) {
			if (!isOpen) {
				return false;
			}

			enqueue(Uint8Array.from(encodeMessage(message)));
			return true;
		},
		async *receive() {
			for (;;) {
				yield* inbox.splice(0);
				if (inbox.length > 0) {
					continue;
				}

				if (isEnded) {
					return;
				}

				// eslint-disable-next-line no-await-in-loop -- waits for the next message.
				await waitForWake();
			}
		},
		close() {
			if (isOpen) {
				enqueue(undefined);
				end();
			}
		},
		deliver(message) {
			execution.run(() => {
				if (message === undefined) {
					end();
				} else if (!isEnded) {
					inbox.push(decodeMessage(message)._unsafeUnwrap());
					wakeReceiver();
				}
			});
		},
		break() {
			inTransit = [];
			execution.run(end);
		},
	};
}
