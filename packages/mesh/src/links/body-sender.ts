/**
 * Sends a body to another node in parts. Its receiver grants bytes as it has
 * memory for them, and parts wait while the channel has more than a little to
 * send, so that small messages pass between them.
 */
import type {PeerChannel} from './peer-channel.js';

/** A body that is being sent. */
export type BodySender = {
	/** Adds a part of the body. */
	push(part: Uint8Array): void;
	/** The body is complete. */
	end(): void;
	/** The rest of the body will not come. */
	cut(): void;
	/** The receiver has memory for so many further bytes. */
	grant(bytes: number): void;
	/** Sends nothing more. */
	cancel(): void;
	/** Whether everything was sent. */
	isDone(): boolean;
};

/** What a sender reports. */
export type BodySenderEvents = {
	/** So many bytes were handed to the channel. */
	onSent?: (bytes: number) => void;
	/** Everything was sent, or the end of the body was. */
	onDone?: () => void;
};

/** Maximum size of a part in bytes. */
const partSize = 64 * 1024;

/** Creates a sender for the body of an exchange; the receiver has memory for the granted bytes. */
export function createBodySender(
	channel: PeerChannel,
	exchange: number,
	granted: number,
	{onSent, onDone}: BodySenderEvents = {},
): BodySender {
	let parts: Uint8Array[] = [];
	let ending: 'more' | 'last' | 'cut' = 'more';
	let credit = granted;
	let isDone = false;
	let isWaiting = false;

	const finish = () => {
		isDone = true;
		parts = [];
		channel.send({
			kind: 'part',
			exchange,
			bytes: new Uint8Array(),
			rest: ending,
		});
		onDone?.();
	};

	/** Sends the next part, as far as the receiver has memory for it. */
	const sendNext = () => {
		const [first] = parts;
		const size = Math.min(first!.byteLength, partSize, credit);
		if (size === first!.byteLength) {
			parts.shift();
		} else {
			parts[0] = first!.subarray(size);
		}

		credit -= size;
		channel.send({
			kind: 'part',
			exchange,
			bytes: first!.subarray(0, size),
			rest: 'more',
		});
		onSent?.(size);
	};

	const mayContinue = () => !isDone && parts.length > 0 && credit > 0;

	const send = () => {
		while (mayContinue() && channel.isWritable()) {
			sendNext();
		}

		if (mayContinue()) {
			waitUntilWritable();
		} else if (!isDone && parts.length === 0 && ending !== 'more') {
			finish();
		}
	};

	const waitUntilWritable = () => {
		if (!isWaiting) {
			isWaiting = true;
			channel.whenWritable(() => {
				isWaiting = false;
				send();
			});
		}
	};

	return {
		push(part) {
			if (!isDone && part.byteLength > 0) {
				parts.push(part);
				send();
			}
		},
		end() {
			ending = 'last';
			send();
		},
		cut() {
			if (!isDone) {
				ending = 'cut';
				finish();
			}
		},
		grant(bytes) {
			credit += bytes;
			send();
		},
		cancel() {
			isDone = true;
			parts = [];
		},
		isDone: () => isDone,
	};
}
