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

/** Runs callbacks at deadlines, up to one tick late. */
export type DeadlineWheel = {
	/** Schedules a callback at a time on the clock; returns a function that cancels it. */
	add(at: number, callback: () => void): () => void;
};

/** Creates a wheel on the clock. */
export function createDeadlineWheel(clock: Clock): DeadlineWheel {
	const slots = new Map<number, Set<() => void>>();
	let timer: Timer | undefined;
	/** The tick at which the timer fires. */
	let timerTick = Number.POSITIVE_INFINITY;
	let lastTick = Math.floor(clock.now() / wheelTick);

	/** Most deadlines are cancelled before they fire, so the timer is rarely reset for an earlier tick. */
	const setTimerFor = (tick: number) => {
		timer?.cancel();
		timerTick = tick;
		timer = clock.setTimer(tick * wheelTick - clock.now(), () => {
			fire();
			setTimerForNext();
		});
	};

	const setTimerForNext = () => {
		timer = undefined;
		timerTick = Number.POSITIVE_INFINITY;
		if (slots.size > 0) {
			setTimerFor(Math.min(...slots.keys()));
		}
	};

	const fire = () => {
		lastTick = Math.max(lastTick, Math.floor(clock.now() / wheelTick));
		const due = [...slots.keys()]
			.filter((tick) => tick <= lastTick)
			.toSorted((left, right) => left - right);
		for (const tick of due) {
			const callbacks = slots.get(tick);
			slots.delete(tick);
			for (const callback of callbacks ?? []) {
				callback();
			}
		}
	};

	return {
		add(at, callback) {
			const tick = Math.max(lastTick + 1, Math.ceil(at / wheelTick));
			let callbacks = slots.get(tick);
			if (!callbacks) {
				callbacks = new Set();
				slots.set(tick, callbacks);
			}

			callbacks.add(callback);
			if (tick < timerTick) {
				setTimerFor(tick);
			}

			return () => {
				callbacks.delete(callback);
				if (callbacks.size === 0) {
					slots.delete(tick);
				}
			};
		},
	};
}
