/**
 * A timer wheel for the deadlines of many requests.
 *
 * With one timer per request, timers would be set and cancelled thousands of
 * times a second, and each that fires would wake the process. Here deadlines
 * share ticks on one timer, and the process wakes only at ticks with due deadlines.
 */
import type {Clock, Timer} from '@egretspoke/shared';

/**
 * Tick length in milliseconds. A deadline may fire late by one tick; callers
 * must be answered within a quarter of a second.
 */
export const wheelTick = 40;

/**
 * Something with a deadline. The wheel links the objects themselves, so that
 * setting and cancelling a deadline allocates nothing.
 */
export abstract class Deadline {
	/** The neighbours in the list of the tick; undefined while no deadline is set. */
	previous: Deadline | undefined = undefined;
	next: Deadline | undefined = undefined;
	tick = 0;

	/** Called once, up to one tick after the deadline. */
	abstract onDeadline(): void;
}

/** Calls objects at their deadlines, up to one tick late. */
export type DeadlineWheel = {
	/** Sets the deadline of an object, which must not have another one, to a time on the clock. */
	add(at: number, deadline: Deadline): void;
	/** Cancels a deadline; does nothing if it has fired or was cancelled. */
	remove(deadline: Deadline): void;
};

/** A deadline that calls a function. */
export class CallbackDeadline extends Deadline {
	constructor(private readonly callback: () => void) {
		super();
	}

	onDeadline(): void {
		this.callback();
	}
}

/** The deadlines of one tick: the head of a circular list. */
class TickList extends Deadline {
	constructor() {
		super();
		this.previous = this;
		this.next = this;
	}

	/** The head itself when the list is empty. */
	first(): Deadline {
		return this.next!;
	}

	onDeadline(): void {
		for (
			let deadline = this.first();
			deadline !== this;
			deadline = this.first()
		) {
			unlink(deadline);
			deadline.onDeadline();
		}
	}
}

/** Creates a wheel on the clock. */
export function createDeadlineWheel(clock: Clock): DeadlineWheel {
	const lists = new Map<number, TickList>();
	let timer: Timer | undefined;
	/** The tick at which the timer fires. */
	let timerTick = Number.POSITIVE_INFINITY;
	let lastTick = Math.floor(clock.now() / wheelTick);

	/** Most deadlines are cancelled before they fire, so the timer is rarely reset for an earlier tick. */
	const setTimerFor = (tick: number) => {
		timer?.cancel();
		timerTick = tick;
		timer = clock.setTimer(tick * wheelTick - clock.now(), () => {
			try {
				fire();
			} finally {
				// Without a timer, no later deadline would be noticed.
				setTimerForNext();
			}
		});
	};

	const setTimerForNext = () => {
		timer = undefined;
		timerTick = Number.POSITIVE_INFINITY;
		if (lists.size > 0) {
			setTimerFor(Math.min(...lists.keys()));
		}
	};

	const fire = () => {
		lastTick = Math.max(lastTick, Math.floor(clock.now() / wheelTick));
		const due = [...lists.keys()]
			.filter((tick) => tick <= lastTick)
			.toSorted((left, right) => left - right);
		for (const tick of due) {
			// Until it is empty: what a deadline that throws leaves behind is due at the next timer.
			lists.get(tick)?.onDeadline();
			lists.delete(tick);
		}
	};

	return {
		add(at, deadline) {
			const tick = Math.max(lastTick + 1, Math.ceil(at / wheelTick));
			let list = lists.get(tick);
			if (!list) {
				list = new TickList();
				lists.set(tick, list);
			}

			deadline.tick = tick;
			link(deadline, list);
			if (tick < timerTick) {
				setTimerFor(tick);
			}
		},
		remove(deadline) {
			if (!deadline.next) {
				return;
			}

			unlink(deadline);
			const list = lists.get(deadline.tick);
			if (list?.first() === list) {
				lists.delete(deadline.tick);
			}
		},
	};
}

/** Appends a deadline to a list. */
function link(deadline: Deadline, list: TickList): void {
	const last = list.previous!;
	deadline.previous = last;
	deadline.next = list;
	last.next = deadline;
	list.previous = deadline;
}

function unlink(deadline: Deadline): void {
	deadline.previous!.next = deadline.next;
	deadline.next!.previous = deadline.previous;
	deadline.previous = undefined;
	deadline.next = undefined;
}
