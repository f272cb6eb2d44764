/**
 * The story of one request, put together from the JSON lines of many nodes:
 * what was decided about it and about the calls that were made for it, about
 * the same request under other ids, and what the nodes concerned had come to
 * believe shortly before.
 */
import {z} from 'zod';

const logEntrySchema = z.object({
	at: z.string(),
	event: z.number(),
	name: z.string(),
	node: z.string(),
	request: z.string().optional(),
	reason: z.string().optional(),
	message: z.string(),
	details: z
		.record(z.string(), z.union([z.string(), z.number(), z.boolean()]))
		.optional(),
});

/** One line of a log. */
export type LogEntry = z.output<typeof logEntrySchema>;

/** What the lines tell. */
export type RequestTrace = {
	request: string;
	/** Decisions on the request and on the calls made for it, in order of time. */
	decisions: LogEntry[];
	/** Decisions on the same request under other ids, in order of time; see event 1607. */
	repeats: LogEntry[];
	/** What the nodes that decided had come to believe before, in order of time. */
	beliefs: LogEntry[];
	/** Lines that these nodes report as dropped; with any, decisions may be missing. */
	linesDropped: number;
	/** Lines that are no entries. */
	unreadable: number;
};

/** Takes the lines of any nodes in any order. */
export type RequestTraceReader = {
	addLine(line: string): void;
	finish(): RequestTrace;
};

/** Events from this number on are about a node and not about a request. */
const firstNoticeEvent = 2000;
/** Milliseconds before the first decision in which a change of belief may have led to it: the longest time-out of a link or target is shorter. */
const noticeWindow = 3000;
const linesDroppedEvent = 'linesDropped';

/** Creates a reader for the request with that id. */
export function createRequestTraceReader(request: string): RequestTraceReader {
	const decisions: LogEntry[] = [];
	const identified: LogEntry[] = [];
	const notices: LogEntry[] = [];
	let unreadable = 0;

	return {
		addLine(line) {
			if (line.trim() === '') {
				return;
			}

			const entry = parseEntry(line);
			if (!entry) {
				unreadable++;
			} else if (entry.event >= firstNoticeEvent) {
				notices.push(entry);
			} else if (concernsRequest(entry, request)) {
				decisions.push(entry);
			} else if (getIdentity(entry) !== undefined) {
				identified.push(entry);
			}
		},
		finish() {
			decisions.sort(compareTime);
			const identities = new Set(decisions.map((entry) => getIdentity(entry)));
			const nodes = new Set(decisions.map(({node}) => node));
			const concerned = notices.filter(({node}) => nodes.has(node));
			return {
				request,
				decisions,
				repeats: identified
					.filter((entry) => identities.has(getIdentity(entry)))
					.sort(compareTime),
				beliefs: listPrecedingNotices(concerned, decisions),
				linesDropped: sumDropped(concerned),
				unreadable,
			};
		},
	};
}

function parseEntry(line: string): LogEntry | undefined {
	// Whoever collects lines may write the node or the time before each.
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const parsed = logEntrySchema.safeParse(JSON.parse(line.slice(start)));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

/** Where targets make the id of a call from that of its request, the call's begins with it and a dot. */
function concernsRequest(entry: LogEntry, request: string): boolean {
	return (
		entry.request === request ||
		(entry.request?.startsWith(`${request}.`) ?? false)
	);
}

/** What repeats of a request under other ids share, where a line tells it. */
function getIdentity({details}: LogEntry): string | undefined {
	return details?.identity === undefined ? undefined : String(details.identity);
}

function listPrecedingNotices(
	notices: LogEntry[],
	decisions: LogEntry[],
): LogEntry[] {
	const [first] = decisions;
	const last = decisions.at(-1);
	if (!first || !last) {
		return [];
	}

	const from = Date.parse(first.at) - noticeWindow;
	const to = Date.parse(last.at);
	return notices
		.filter(({name, at}) => {
			const time = Date.parse(at);
			return name !== linesDroppedEvent && time >= from && time <= to;
		})
		.sort(compareTime);
}

function sumDropped(notices: LogEntry[]): number {
	let sum = 0;
	for (const {name, details} of notices) {
		sum += name === linesDroppedEvent ? Number(details?.count ?? 0) : 0;
	}

	return sum;
}

function compareTime(left: LogEntry, right: LogEntry): number {
	return Date.parse(left.at) - Date.parse(right.at);
}
