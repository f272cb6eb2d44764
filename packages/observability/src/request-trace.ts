/**
 * Collects the trace of one request from the JSON log lines of many nodes:
 * decisions about the request and the calls that it caused, decisions about
 * the same request under other ids, and notices that the deciding nodes logged
 * shortly before.
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

/** One parsed line of a log. */
export type LogEntry = z.output<typeof logEntrySchema>;

/** The log entries that concern one request. */
export type RequestTrace = {
	request: string;
	/** Decisions about the request and the calls that it caused, sorted by time. */
	decisions: LogEntry[];
	/** Decisions about the same request under other ids, sorted by time; see event 1607. */
	repeats: LogEntry[];
	/** Notices of the deciding nodes shortly before and between the decisions, such as changes in the state of a peer or target, sorted by time. */
	beliefs: LogEntry[];
	/**
	 * When the configuration changed at the deciding nodes: the last change of each before the
	 * first decision and the next one after the last, however long before or after, sorted by time.
	 */
	configurations: LogEntry[];
	/** Number of lines that these nodes reported as dropped; above 0, decisions may be missing. */
	linesDropped: number;
	/** Number of lines that are not valid entries. */
	unreadable: number;
};

/** Reads lines of any nodes in any order. */
export type RequestTraceReader = {
	addLine(line: string): void;
	finish(): RequestTrace;
};

/** Codes from this one on belong to events about a node instead of a request. */
const firstNoticeEvent = 2000;
/** Notices from this long before the first decision are included, in milliseconds. The longest timeout of a link or target is shorter, so an earlier change of state did not cause the decision. */
const noticeWindow = 3000;
const linesDroppedEvent = 'linesDropped';
const configurationEvent = 'configurationTaken';

/** Creates a reader that collects the trace of the request with the given id. */
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
				configurations: listConfigurations(concerned, decisions),
				linesDropped: sumDropped(concerned),
				unreadable,
			};
		},
	};
}

function parseEntry(line: string): LogEntry | undefined {
	// Log collectors may prefix each line with the node or the time.
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

/** Matches the request and its calls. Targets that derive the id of a call from its request use the id of the request, a dot and a suffix. */
function concernsRequest(entry: LogEntry, request: string): boolean {
	return (
		entry.request === request ||
		(entry.request?.startsWith(`${request}.`) ?? false)
	);
}

/** Returns the identity that repeats of a request under other ids share, if the entry has one. */
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

/** A version that came into force long ago, or too late, explains a decision of the configuration; neither is within the usual window. */
function listConfigurations(
	notices: LogEntry[],
	decisions: LogEntry[],
): LogEntry[] {
	const changes = notices
		.filter(({name}) => name === configurationEvent)
		.sort(compareTime);
	const nodes = [...new Set(decisions.map(({node}) => node))];
	return nodes
		.flatMap((node) => {
			const own = changes.filter((change) => change.node === node);
			const before = own.findLast(
				(change) => compareTime(change, decisions[0]!) <= 0,
			);
			const after = own.find(
				(change) => compareTime(change, decisions.at(-1)!) > 0,
			);
			return [before, after].filter((change) => change !== undefined);
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
