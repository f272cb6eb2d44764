/** The bridge between callbacks and `most` streams, on the project's clock. */
import {Stream, type Sink, type Scheduler} from 'most';
import type {Clock, Timer} from './clock.js';

/** A stream together with the means to push values into it. */
export type Subject<T> = {
	/** Each observer sees the values pushed after it began to observe. */
	stream: Stream<T>;
	/** Hands the value to every observer before it returns. */
	push(value: T): void;
	/** Ends the stream for every observer. */
	end(): void;
};

/** Creates a stream whose values are pushed from outside. */
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
			for (const [sink, scheduler] of sinks) {
				sink.event(scheduler.now(), value);
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

/** A tick every period, in milliseconds, on the given clock, until the signal aborts. */
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
