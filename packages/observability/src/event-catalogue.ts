/**
 * All log events by name. This table is the only source of the log lines, of
 * `egretspoke explain` and of docs/EVENTS.md.
 */
import {decisionEvents} from './decision-events.js';
import {noticeEvents} from './notice-events.js';
import {meshEvents} from './mesh-events.js';
import type {EventDefinition} from './event-definition.js';

/** All event definitions: codes of decisions start at 1000, those of notices at 2000. */
export const events = {
	...decisionEvents,
	...noticeEvents,
	...meshEvents,
} as const;

/** The name of an event. */
export type EventName = keyof typeof events;

/** The name of an event about one request. */
export type DecisionEventName = keyof typeof decisionEvents;

/** The name of an event about the node. */
export type NoticeEventName = keyof typeof noticeEvents;

/** Returns all events, sorted by code. */
export function listEvents(): Array<EventDefinition & {name: EventName}> {
	return Object.entries<EventDefinition>(events)
		.map(([name, definition]) => ({...definition, name: name as EventName}))
		.sort((left, right) => left.code - right.code);
}
