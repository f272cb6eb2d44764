/** Adapters between callbacks and `most` streams, on the clock of this project. */
import {Stream, type Sink, type Scheduler} from 'most';
import type {Clock, Timer} from './clock.js';

/** A stream and the functions that push values into it. */
export type Subject<T> = {
	/** Observers receive the values that are pushed after they subscribe. */
	stream: Stream<T>;
	/** Delivers the value synchronously to all observers, and then throws the first error that one of them threw. */
	push(value: T): void;
	/** Ends the stream for all observers. */
	end(): void;
};

/** Creates a stream whose values are pushed by the caller. */
export function createSubject<T>(): Subject<T> {
	const sinks = new Map<Sink<T>, Scheduler>();
	const source = {
		run(sink: Sink<T>, scheduler: Scheduler) {
			sinks.set(sink, scheduler);
			return {
				dispose() {
					sinks.delete(sink);
				},
			};
		},
	};
	return {
		stream: new Stream<T>(source),
		push(value) {
			const errors: unknown[] = [];
			for (const [sink, scheduler] of sinks) {
				try {
					sink.event(scheduler.now(), value);
				} catch (error) {
					// Otherwise the observers behind it would miss the value.
					errors.push(error);
				}
			}

			if (errors.length > 0) {
				throw errors[0] as Error;
			}
		},
		end() {
			for (const [sink, scheduler] of sinks) {
				sink.end(scheduler.now());
			}

			sinks.clear();
		},
	};
}

/** Emits the time of the clock at each interval, in milliseconds, until the signal aborts. */
export function createTicks(
	clock: Clock,
	interval: number,
	signal: AbortSignal,
): Stream<number> {
	const subject = createSubject<number>();
	let timer: Timer | undefined;
	const tick = () => {
		if (signal.aborted) {
			return;
		}

		timer = clock.setTimer(interval, tick);
		subject.push(clock.now());
	};

	timer = clock.setTimer(interval, tick);
	signal.addEventListener('abort', () => {
		timer?.cancel();
		subject.end();
	});
	return subject.stream;
}
