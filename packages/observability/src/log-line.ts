/** Formats recorded events as log lines. Runs off the request path. */
import {events, type EventName} from './event-catalogue.js';

/** The variable data of an event. */
export type EventFields = {
	/** The id of the request that a decision is about. */
	request?: string;
	/** The reason for the decision. */
	reason?: string;
	details?: Readonly<Record<string, string | number | boolean>>;
};

/** An event with the time at which it was recorded. */
export type RecordedEvent = EventFields & {
	name: EventName;
	/** Milliseconds since 1970. */
	at: number;
};

/** The log formats that the settings allow. */
export type LogFormat = 'text' | 'json';

/** Formats an event as a line, without the line terminator. */
export type LineFormatter = (event: RecordedEvent, node: string) => string;

/** The formatter of each log format. */
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

/** Fills the reason and the details of an event into its template; the placeholder of a missing one stays. */
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

/** All templates, split once at startup, because a search per line costs microseconds. */
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
 * Escapes control characters. Callers choose their request ids, and a line
 * break in an id would forge a log line of an event that never happened.
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
