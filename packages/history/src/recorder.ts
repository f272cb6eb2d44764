/** Records the events of one run in the order in which they happen. */
import {createHash} from 'node:crypto';
import type {Clock} from '@egretspoke/shared';
import type {HistoryEvent, RecordedEvent} from './event.js';

/** Records events from the fakes around the code under test. */
export type Recorder = {
	record(event: HistoryEvent): void;
	history(): readonly RecordedEvent[];
};

/** Creates an empty history. */
export function createRecorder(clock: Pick<Clock, 'now'>): Recorder {
	const events: RecordedEvent[] = [];
	return {
		record(event) {
			events.push({...event, at: clock.now()});
		},
		history: () => events,
	};
}

/** Returns the SHA-256 of a response's bytes, in hexadecimal. */
export function digestBody(body: Uint8Array): string {
	return createHash('sha256').update(body).digest('hex');
}
