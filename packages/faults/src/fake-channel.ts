/** One end of a channel between two nodes. */
import {decodeMessage, encodeMessage, type Message} from '@egretspoke/protocol';
import type {MessageChannel, PeerIdentity} from '@egretspoke/node';
import type {Clock} from '@egretspoke/shared';
import type {ProcessGate} from './process-gate.js';

/** What the two ends share. */
export type Link = {
	clock: Clock;
	/** Milliseconds one way. */
	drawDelay(): number;
	isCut(): boolean;
};

/** An end with what the network does to it. */
export type ChannelEnd = MessageChannel & {
	connect(other: ChannelEnd): void;
	/** Takes a message from the network; undefined ends the channel. */
	deliver(message: Uint8Array | undefined): void;
	/** Loses what is under way and ends this end. */
	break(): void;
};

/** Milliseconds between two looks at a link that is cut. */
const cutRetry = 20;

/** Creates an end that isn't connected yet. */
export function createChannelEnd(
	link: Link,
	peer: PeerIdentity,
	gate: ProcessGate,
): ChannelEnd {
	const {clock} = link;
	const inbox: Message[] = [];
	let underWay: Array<{at: number; message: Uint8Array | undefined}> = [];
	let other: ChannelEnd | undefined;
	let isOpen = true;
	let isEnded = false;
	let wake: (() => void) | undefined;

	const signal = () => {
		wake?.();
		wake = undefined;
	};

	const nextSignal = async () =>
		new Promise<void>((resolve) => {
			wake = resolve;
		});

	const end = () => {
		isOpen = false;
		isEnded = true;
		signal();
	};

	const pump = () => {
		const first = underWay[0];
		if (!first) {
			return;
		}

		if (link.isCut()) {
			clock.setTimer(cutRetry, pump);
			return;
		}

		if (first.at > clock.now()) {
			clock.setTimer(first.at - clock.now(), pump);
			return;
		}

		underWay.shift();
		other?.deliver(first.message);
		pump();
	};

	const enqueue = (message: Uint8Array | undefined) => {
		const last = underWay.at(-1)?.at ?? 0;
		const at = Math.max(last, clock.now() + link.drawDelay());
		underWay.push({at, message});
		if (underWay.length === 1) {
			pump();
		}
	};

	return {
		peer,
		connect(end_) {
			other = end_;
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
				await nextSignal();
			}
		},
		close() {
			if (isOpen) {
				enqueue(undefined);
				end();
			}
		},
		deliver(message) {
			gate.run(() => {
				if (message === undefined) {
					end();
				} else if (!isEnded) {
					inbox.push(decodeMessage(message)._unsafeUnwrap());
					signal();
				}
			});
		},
		break() {
			underWay = [];
			gate.run(end);
		},
	};
}
