/**
 * Every event that the product logs, by name. The log, `egretspoke explain`
 * and docs/EVENTS.md are made from this table and from nothing else.
 */
import {decisionEvents} from './decision-events.js';
import {noticeEvents} from './notice-events.js';
import {meshEvents} from './mesh-events.js';
import type {EventDefinition} from './event-definition.js';

/** The table: decisions from 1000, notices from 2000. */
export const events = {
	...decisionEvents,
	...noticeEvents,
	...meshEvents,
} as const;

/** The name of an event. */
export type EventName = keyof typeof events;

/** The names of the events that are about one request. */
export type DecisionEventName = keyof typeof decisionEvents;

/** The names of the events that are about the node. */
export type NoticeEventName = keyof typeof noticeEvents;

/** Every row, in the order of the numbers. */
export function listEvents(): Array<EventDefinition & {name: EventName}> {
	return Object.entries<EventDefinition>(events)
		.map(([name, definition]) => ({...definition, name: name as EventName}))
		.sort((left, right) => left.code - right.code);
}
