/**
 * The event log: writes numbered events through loglevel, as text or JSON lines.
 *
 * Logging each routing decision must not delay the request. On the request
 * path an event costs a level check, a hash of the request id when requests
 * are sampled, and a push onto a bounded buffer. Lines are formatted and
 * written later, in batches, from a timer of the clock.
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

/** The options of a log; the first four come from the settings. */
export type EventLogOptions = {
	node: string;
	level: loglevel.LogLevelNames | 'silent';
	format: LogFormat;
	/** The share of requests, from 0 to 1, whose decisions are logged. */
	sample: number;
	clock: Clock;
	sink: LogSink;
	/** The maximum number of buffered events. */
	capacity?: number;
	/** Delay of a write after an event, in milliseconds. */
	delay?: number;
	/** The maximum number of lines written at once. */
	batch?: number;
};

/** The event log of a node. */
export type EventLog = {
	/** Records an event; never blocks and never throws. */
	record(name: EventName, fields?: EventFields): void;
	/** Whether `record` would log the event; lets callers skip building details that are not logged. */
	isEnabled(name: EventName, request?: string): boolean;
	/** Writes the buffered events while the sink is ready. */
	flush(): void;
	/** The number of lines dropped so far because the buffer was full. */
	dropped(): number;
};

const defaultCapacity = 8192;
const defaultDelay = 50;
const defaultBatch = 256;
/** The share of the buffer that is reserved for notices. */
const noticeReserve = 0.1;

let loggerCount = 0;

/** Creates a log with a logger of its own, so one process can have several. */
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

/** Returns the names of the events that are logged at a level. */
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

/** Creates a loglevel logger whose methods append to `lines`. */
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
