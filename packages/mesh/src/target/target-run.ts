/**
 * Runs one request at the target: sends it, repeats it while the target
 * declines it, and aborts it when its caller disconnects or its deadline has
 * passed.
 */
import type {Clock} from '@egretspoke/shared';
import type {DeadlineWheel} from '../timing/deadline-wheel.js';
import type {ForwardedRequest, Outcome} from '../links/exchange.js';
import type {TargetClient} from './target-client.js';

/** Dependencies of a run. */
export type TargetRunOptions = {
	clock: Clock;
	wheel: DeadlineWheel;
	client: TargetClient;
	request: ForwardedRequest;
	/** Deadline of the final answer to the caller, on the clock. */
	until: number;
	/** Whether a request that the target declined may be offered to it again. */
	mayOfferAgain: () => boolean;
	/** Receives the outcome of each offer. */
	onOffer: (outcome: Outcome) => void;
	/** The slot was released; receives the duration of the last offer in milliseconds, undefined unless the target answered it. */
	onFreed: (duration: number | undefined) => void;
	/** Receives the outcome of the request; not called once a cancel has ended the run. */
	onOutcome: (outcome: Outcome) => void;
	/** The target did not respond before the run was cut off. */
	onUnresponsive: () => void;
};

/** A request that runs at the target. */
export type TargetRun = {
	/** Aborts the run after a grace period, because the caller disconnected. */
	cancel(): void;
	/** Number of offers after the first. */
	repeats(): number;
};

/** Milliseconds reserved for returning the answer to the caller before its deadline. */
export const responseMargin = 8;
/** Milliseconds after a request's deadline until the run is cut off. */
const overrunGrace = 100;
/**
 * Milliseconds that a target may continue a cancelled request. When one call of
 * a request fails, its target cancels the other calls, and those targets cancel
 * the calls below them. Aborting each at once would cost a connection, which
 * takes longer to reopen than most of these calls have left. Callers' operators
 * allow half a second; this is half of it, because a cancel takes some time to
 * arrive.
 */
const cancelGrace = 250;

/** Sends a request to the target. */
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
