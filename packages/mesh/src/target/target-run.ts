/**
 * Runs one request at the target: sends it, repeats it while the target
 * declines it, and aborts it when its caller disconnects or its deadline has
 * passed.
 */
import type {Clock} from '@egretspoke/shared';
import {
	CallbackDeadline,
	Deadline,
	type DeadlineWheel,
} from '../timing/deadline-wheel.js';
import type {ForwardedRequest, Outcome} from '../links/exchange.js';
import type {TargetClient} from './target-client.js';

/** A request that can be run. */
export type RunnableRequest = {
	readonly request: ForwardedRequest;
	/** Deadline of the final answer to the caller, on the clock. */
	readonly until: number;
};

/** Receives the events of all runs of a dispatcher. */
export type TargetRunEvents<Item extends RunnableRequest> = {
	/** Whether a request that the target declined may be offered to it again. */
	mayOfferAgain(run: TargetRun<Item>): boolean;
	/** Receives the outcome of each offer. */
	onOffer(run: TargetRun<Item>, outcome: Outcome): void;
	/** The slot was released; receives the duration of the last offer in milliseconds, undefined unless the target answered it. */
	onFreed(run: TargetRun<Item>, duration: number | undefined): void;
	/** Receives the outcome of the request; not called once a cancel has ended the run. */
	onOutcome(run: TargetRun<Item>, outcome: Outcome): void;
	/** The target did not respond before the run was cut off. */
	onUnresponsive(): void;
};

/** Dependencies shared by all runs of a dispatcher. */
export type TargetRunContext<Item extends RunnableRequest> = {
	clock: Clock;
	wheel: DeadlineWheel;
	events: TargetRunEvents<Item>;
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

const nothing = () => undefined;

/** A request that runs at the target; as a deadline, it is the time at which the run is cut off. */
export class TargetRun<Item extends RunnableRequest> extends Deadline {
	/** Number of offers after the first. */
	repeats = 0;
	/** The outcome of the last offer. */
	lastOffer: Outcome | undefined = undefined;
	private isFreed = false;
	private offeredAt = 0;
	private cancelOffer: () => void = nothing;
	private cancelDeadline: Deadline | undefined = undefined;

	constructor(
		private readonly context: TargetRunContext<Item>,
		readonly client: TargetClient,
		readonly item: Item,
	) {
		super();
	}

	/** Sends the request to the target. */
	start(): void {
		this.context.wheel.add(this.item.until + overrunGrace, this);
		this.offer();
	}

	/** Aborts the run after a grace period, because the caller disconnected. */
	cancel(): void {
		const {clock, wheel} = this.context;
		this.cancelDeadline = new CallbackDeadline(() => {
			this.cancelOffer();
			this.free(undefined);
		});
		wheel.add(clock.now() + cancelGrace, this.cancelDeadline);
	}

	onDeadline(): void {
		const {events} = this.context;
		this.cancelOffer();
		this.free(undefined);
		events.onUnresponsive();
		events.onOutcome(this, {kind: 'lost', reason: 'noAnswerInTime'});
	}

	private offer(): void {
		const {item, context} = this;
		this.offeredAt = context.clock.now();
		const timeLeft = item.until - this.offeredAt - responseMargin;
		this.cancelOffer = this.client.run(item.request, timeLeft, (outcome) => {
			this.endOffer(outcome);
		});
	}

	private endOffer(outcome: Outcome): void {
		const {clock, events} = this.context;
		this.lastOffer = outcome;
		events.onOffer(this, outcome);
		if (
			outcome.kind === 'declined' &&
			!this.isFreed &&
			events.mayOfferAgain(this)
		) {
			this.repeats++;
			this.offer();
			return;
		}

		this.free(
			outcome.kind === 'answered' ? clock.now() - this.offeredAt : undefined,
		);
		events.onOutcome(this, outcome);
	}

	private free(duration: number | undefined): void {
		if (this.isFreed) {
			return;
		}

		const {wheel, events} = this.context;
		this.isFreed = true;
		wheel.remove(this);
		if (this.cancelDeadline) {
			wheel.remove(this.cancelDeadline);
		}

		events.onFreed(this, duration);
	}
}
