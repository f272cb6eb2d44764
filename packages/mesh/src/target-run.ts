/**
 * One request at the target: handed over, offered again while the target
 * declines it, given up when its caller leaves, cut off when it outlives its
 * time.
 */
import type {Clock} from '@egretspoke/shared';
import type {DeadlineWheel} from './deadline-wheel.js';
import type {ForwardedRequest, Outcome} from './exchange.js';
import type {TargetClient} from './target-client.js';

/** What a run needs. */
export type TargetRunOptions = {
	clock: Clock;
	wheel: DeadlineWheel;
	client: TargetClient;
	request: ForwardedRequest;
	/** The instant at which the caller has its final answer. */
	until: number;
	/** The target declined it; whether it may be offered once more. */
	mayOfferAgain: () => boolean;
	/** What came of each offer. */
	onOffer: (outcome: Outcome) => void;
	/** The slot is free; milliseconds of the last offer, undefined when they say nothing of the target's speed. */
	onFreed: (duration: number | undefined) => void;
	/** What came of the request; not called after a cancel has ended the run. */
	onOutcome: (outcome: Outcome) => void;
	/** The target said nothing in all the time that it was given. */
	onUnresponsive: () => void;
};

/** A request that the target has. */
export type TargetRun = {
	/** Its caller has gone. */
	cancel(): void;
	/** Offers after the first. */
	repeats(): number;
};

/** Milliseconds for an answer to get back to the caller before its time is over. */
export const responseMargin = 8;
/** Milliseconds after the end of a request's time until a target that has not stopped is cut off. */
const overrunGrace = 100;
/**
 * Milliseconds that a target may go on with work that its caller no longer
 * wants. When one call of a request fails, its target gives up the others, and
 * each of those targets the calls below it: cut off at once, every such call
 * costs a connection, which takes longer to open again than most of them have
 * left. Half a second is what callers' operators allow; this is half of it, since
 * a cancel takes a while to arrive.
 */
const cancelGrace = 250;

/** Hands a request to the target. */
export function startTargetRun(options: TargetRunOptions): TargetRun {
	const {clock, wheel, client, request, until} = options;
	let isFreed = false;
	let repeats = 0;
	let cancelOffer: () => void = () => undefined;
	let removeCancel: () => void = () => undefined;

	const free = (duration: number | undefined) => {
		if (isFreed) {
			return;
		}

		isFreed = true;
		removeCutOff();
		removeCancel();
		options.onFreed(duration);
	};

	const removeCutOff = wheel.add(until + overrunGrace, () => {
		cancelOffer();
		free(undefined);
		options.onUnresponsive();
		options.onOutcome({kind: 'lost', reason: 'noAnswerInTime'});
	});

	const offer = () => {
		const offeredAt = clock.now();
		const timeLeft = until - offeredAt - responseMargin;
		cancelOffer = client.run(request, timeLeft, (outcome) => {
			options.onOffer(outcome);
			if (outcome.kind === 'declined' && !isFreed && options.mayOfferAgain()) {
				repeats++;
				offer();
				return;
			}

			free(outcome.kind === 'answered' ? clock.now() - offeredAt : undefined);
			options.onOutcome(outcome);
		});
	};

	offer();
	return {
		cancel() {
			removeCancel = wheel.add(clock.now() + cancelGrace, () => {
				cancelOffer();
				free(undefined);
			});
		},
		repeats: () => repeats,
	};
}
