/**
 * The log: numbered events through loglevel, as text or JSON lines.
 *
 * A line for each routing decision must not cost the request it is about. On
 * the request's path an event costs a comparison of levels, a hash of the
 * request id when only a share is logged, and a push onto a bounded buffer.
 * Formatting and writing happen later, on the clock's timer, a batch at a
 * time.
 */
import type {Clock} from '@egretspoke/shared';
import loglevel from 'loglevel';
import {events, type EventName} from './event-catalogue.js';
import {logLevels, type EventDefinition} from './event-definition.js';
import {
	lineFormatters,
	type EventFields,
	type LogFormat,
	type RecordedEvent,
} from './log-line.js';
import type {LogSink} from './log-sink.js';
import {createRequestSample} from './request-sample.js';

/** What a log is built from; the first four stand in the settings. */
export type EventLogOptions = {
	node: string;
	level: loglevel.LogLevelNames | 'silent';
	format: LogFormat;
	/** The share of requests whose decisions are logged. */
	sample: number;
	clock: Clock;
	sink: LogSink;
	/** The most events that wait to be written. */
	capacity?: number;
	/** Milliseconds from an event to its line. */
	delay?: number;
	/** The most lines formatted in one go. */
	batch?: number;
};

/** A node's log. */
export type EventLog = {
	/** Records an event; never blocks and never throws. */
	record(name: EventName, fields?: EventFields): void;
	/** Whether `record` would keep it; spares building details for nothing. */
	isEnabled(name: EventName, request?: string): boolean;
	/** Writes what waits, as far as the sink takes it. */
	flush(): void;
	/** Lines dropped so far because the buffer was full. */
	dropped(): number;
};

const defaultCapacity = 8192;
const defaultDelay = 50;
const defaultBatch = 256;
/** The part of the buffer that decisions leave free for notices. */
const noticeReserve = 0.1;

let loggerCount = 0;

/** Creates a log of its own; several can live in one process. */
export function createEventLog(options: EventLogOptions): EventLog {
	const {clock, sink, node} = options;
	const capacity = options.capacity ?? defaultCapacity;
	const decisionCapacity = Math.floor(capacity * (1 - noticeReserve));
	const batch = options.batch ?? defaultBatch;
	const enabledEvents = listEnabledEvents(options.level);
	const isSampled = createRequestSample(options.sample);
	const format = lineFormatters[options.format];
	const lines: string[] = [];
	const logger = createLogger(options.level, lines);
	let waiting: RecordedEvent[] = [];
	let isScheduled = false;
	let dropped = 0;
	let reportedDrops = 0;

	const isEnabled = (name: EventName, request?: string): boolean =>
		enabledEvents.has(name) &&
		(request === undefined ||
			events[name].kind === 'notice' ||
			isSampled(request));

	const schedule = () => {
		if (!isScheduled) {
			isScheduled = true;
			clock.setTimer(options.delay ?? defaultDelay, () => {
				isScheduled = false;
				writeBatch();
				if (waiting.length > 0) {
					schedule();
				}
			});
		}
	};

	const writeBatch = () => {
		if (!sink.isReady()) {
			return;
		}

		const eventsToWrite = waiting.slice(0, batch);
		waiting = waiting.slice(batch);
		if (dropped > reportedDrops) {
			eventsToWrite.push({
				name: 'linesDropped',
				at: clock.date().getTime(),
				details: {count: dropped - reportedDrops},
			});
			reportedDrops = dropped;
		}

		for (const event of eventsToWrite) {
			logger[events[event.name].level](format(event, node));
		}

		if (lines.length > 0) {
			sink.write(lines.join(''));
			lines.length = 0;
		}
	};

	return {
		record(name, fields) {
			if (!isEnabled(name, fields?.request)) {
				return;
			}

			const limit =
				events[name].kind === 'notice' ? capacity : decisionCapacity;
			if (waiting.length >= limit) {
				dropped++;
			} else {
				waiting.push({name, at: clock.date().getTime(), ...fields});
			}

			schedule();
		},
		isEnabled,
		flush() {
			while (waiting.length > 0 && sink.isReady()) {
				writeBatch();
			}
		},
		dropped: () => dropped,
	};
}

/** The events that a level lets through, worked out once. */
function listEnabledEvents(level: EventLogOptions['level']): Set<EventName> {
	const minLevel =
		level === 'silent' ? logLevels.length : logLevels.indexOf(level);
	return new Set(
		(Object.entries(events) as Array<[EventName, EventDefinition]>)
			.filter(
				([, definition]) => logLevels.indexOf(definition.level) >= minLevel,
			)
			.map(([name]) => name),
	);
}

/** A loglevel logger whose methods append to the batch. */
function createLogger(
	level: EventLogOptions['level'],
	lines: string[],
): loglevel.Logger {
	const logger = loglevel.getLogger(`egretspoke-${loggerCount++}`);
	logger.methodFactory = () => (line: string) => {
		lines.push(`${line}\n`);
	};

	logger.setLevel(level, false);
	return logger;
}
