/** Turns a recorded event into the text of a line. Runs off the request path. */
import {events, type EventName} from './event-catalogue.js';

/** What an event says besides its number. */
export type EventFields = {
	/** The request that a decision is about. */
	request?: string;
	/** Why it was decided so. */
	reason?: string;
	details?: Readonly<Record<string, string | number | boolean>>;
};

/** An event as it was recorded. */
export type RecordedEvent = EventFields & {
	name: EventName;
	/** Milliseconds since 1970. */
	at: number;
};

/** The formats of the settings. */
export type LogFormat = 'text' | 'json';

/** Turns an event into a line without its line end. */
export type LineFormatter = (event: RecordedEvent, node: string) => string;

/** One formatter a format. */
export const lineFormatters: Record<LogFormat, LineFormatter> = {
	text(event, node) {
		const {code, level, template} = events[event.name];
		const request = event.request ? ` request=${event.request}` : '';
		const details = Object.entries(event.details ?? {})
			.filter(([key]) => !template.includes(`{${key}}`))
			.map(([key, value]) => ` ${key}=${String(value)}`)
			.join('');
		const line = `${new Date(event.at).toISOString()} ${level.toUpperCase()} ${code} ${event.name} node=${node}${request} ${fillTemplate(event)}${details}`;
		return escapeControls(line);
	},
	json: (event, node) =>
		JSON.stringify({
			at: new Date(event.at).toISOString(),
			level: events[event.name].level,
			event: events[event.name].code,
			name: event.name,
			node,
			...(event.request !== undefined && {request: event.request}),
			...(event.reason !== undefined && {reason: event.reason}),
			message: fillTemplate(event),
			...(event.details && {details: event.details}),
		}),
};

/** The event's text with its details filled in; a detail that is missing shows as its name. */
export function fillTemplate(event: RecordedEvent): string {
	let text = '';
	for (const {before, key} of templateParts[event.name]) {
		text += before;
		if (key !== undefined) {
			const value = key === 'reason' ? event.reason : event.details?.[key];
			text += value ?? `{${key}}`;
		}
	}

	return text;
}

type TemplatePart = {before: string; key: string | undefined};

/** The templates taken apart once; a search in each line costs microseconds. */
const templateParts = Object.fromEntries(
	Object.entries(events).map(([name, {template}]) => [
		name,
		splitTemplate(template),
	]),
) as Record<EventName, TemplatePart[]>;

function splitTemplate(template: string): TemplatePart[] {
	const pieces = template.split(/\{(?<key>\w+)\}/u);
	return pieces.flatMap((piece, index) =>
		index % 2 === 0 ? [{before: piece, key: pieces[index + 1]}] : [],
	);
}

const controlPattern = /\p{Cc}/u;

/**
 * A caller chooses its request id, and a line end within one would forge a
 * line of its own; one would notice lines of events that never happened.
 */
function escapeControls(line: string): string {
	if (!controlPattern.test(line)) {
		return line;
	}

	return line.replaceAll(
		/\p{Cc}/gu,
		(control) => `\\u${control.codePointAt(0)!.toString(16).padStart(4, '0')}`,
	);
}
