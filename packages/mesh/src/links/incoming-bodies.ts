/**
 * The large request bodies that arrive over one link. The node of the target
 * asks for a body once it has memory for it, so a request that it refuses has
 * not crossed the link.
 */
import {Buffer} from 'node:buffer';
import type {Clock, Timer} from '@egretspoke/shared';
import type {
	BodyHold,
	MemoryBudget,
} from '../decisions/memory/memory-budget.js';
import type {ForwardedRequest, RefusalReason} from './exchange.js';
import type {PeerChannel} from './peer-channel.js';
import type {BodyPart, LargeRequest} from './compact-message.js';

/** Dependencies of the bodies. */
export type IncomingBodiesOptions = {
	clock: Clock;
	budget: MemoryBudget;
	channel: PeerChannel;
	/** The request has arrived whole; its hold is released by the receiver. */
	onRequest: (exchange: number, request: ForwardedRequest) => void;
	/** The request is refused before it has arrived. */
	onRefused: (exchange: number, reason: RefusalReason) => void;
};

/** The bodies that are arriving, by exchange. */
export type IncomingBodies = {
	add(message: LargeRequest): void;
	receive(part: BodyPart): void;
	/** Drops a body, if it is arriving. */
	cancel(exchange: number): void;
	/** Drops all bodies. */
	close(): void;
	size(): number;
};

/** A body that waits for memory or is arriving. */
type Arrival = {
	add(bytes: Uint8Array): void;
	drop(): void;
};

/** Creates an empty collection. */
export function createIncomingBodies(
	options: IncomingBodiesOptions,
): IncomingBodies {
	const {clock, budget, channel} = options;
	const arrivals = new Map<number, Arrival>();

	const add = ({exchange, request, bodySize}: LargeRequest) => {
		const arrivedAt = clock.now();
		let hold: BodyHold | undefined;
		let buffer: Uint8Array = new Uint8Array();
		let size = 0;
		let timer: Timer | undefined;
		let withdraw = () => undefined as void;

		const finish = () => {
			arrivals.delete(exchange);
			timer?.cancel();
			withdraw();
		};

		const drop = () => {
			finish();
			hold?.release();
		};

		const refuse = (reason: RefusalReason) => {
			drop();
			options.onRefused(exchange, reason);
		};

		const begin = (granted: BodyHold | undefined) => {
			timer?.cancel();
			if (!granted) {
				refuse('noRoom');
				return;
			}

			hold = granted;
			buffer = Buffer.allocUnsafeSlow(bodySize);
			channel.send({kind: 'credit', exchange, bytes: bodySize});
			const timeLeft = request.timeLeft - (clock.now() - arrivedAt);
			timer = clock.setTimer(timeLeft, () => {
				refuse('noTimeLeft');
			});
		};

		arrivals.set(exchange, {
			add(bytes) {
				if (size + bytes.byteLength > buffer.byteLength) {
					refuse('linkDown');
					return;
				}

				buffer.set(bytes, size);
				size += bytes.byteLength;
				if (size === bodySize) {
					finish();
					options.onRequest(exchange, {
						...request,
						body: buffer,
						bodyHold: hold,
						timeLeft: request.timeLeft - (clock.now() - arrivedAt),
					});
				}
			},
			drop,
		});
		timer = clock.setTimer(request.maxWait, () => {
			refuse('noRoom');
		});
		withdraw = budget.holdWhenFree(bodySize, begin);
	};

	return {
		add,
		receive({exchange, bytes}) {
			if (bytes.byteLength > 0) {
				arrivals.get(exchange)?.add(bytes);
			}
		},
		cancel(exchange) {
			arrivals.get(exchange)?.drop();
		},
		close() {
			for (const arrival of arrivals.values()) {
				arrival.drop();
			}
		},
		size: () => arrivals.size,
	};
}
