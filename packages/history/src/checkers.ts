/**
 * The four promises as checks over a history. Each looks only at what targets
 * did and callers were told, so it can't share a mistake with the code that it
 * judges.
 */
import type {RecordedEvent} from './event.js';

/** A promise that was broken, and the events that show it. */
export type Violation = {
	checker: CheckerName;
	/** The key, the attempt or the node that it is about. */
	subject: string;
	detail: string;
};

type Finding = Omit<Violation, 'checker'>;
type Checker = (history: readonly RecordedEvent[]) => Finding[];
type OfKind<K extends RecordedEvent['kind']> = Extract<
	RecordedEvent,
	{kind: K}
>;

/** The checks by name. */
export const checkers = {
	noKeyRanTwice,
	noNotRunRan,
	noVersionWentDown,
	noAnswerReachedAnother,
} satisfies Record<string, Checker>;

/** The names of the checks. */
export type CheckerName = keyof typeof checkers;

/** Runs all four checks. */
export function checkHistory(history: readonly RecordedEvent[]): Violation[] {
	return Object.entries(checkers).flatMap(([checker, check]) =>
		check(history).map((finding) => ({
			checker: checker as CheckerName,
			...finding,
		})),
	);
}

function noKeyRanTwice(history: readonly RecordedEvent[]): Finding[] {
	const runs = groupBy(
		select(history, 'ran').filter(({idempotent}) => !idempotent),
		({key}) => key,
	);
	return [...runs]
		.filter(([, events]) => events.length > 1)
		.map(([key, events]) => ({
			subject: key,
			detail: `ran ${events.length} times: ${events
				.map(({at, target, attempt}) => `${attempt} at ${target}, ${at} ms`)
				.join('; ')}`,
		}));
}

/**
 * Two faults count: an attempt that is told "not run" and runs at any time,
 * and an attempt that is told so although its request had run for another
 * before this one was even sent. A run by a copy that was under way at the same
 * time is no fault: "not run" was true when the home said so. The second fault
 * is one of non-idempotent requests only, since copies of an idempotent one
 * have nothing in common by which a node could tell.
 */
function noNotRunRan(history: readonly RecordedEvent[]): Finding[] {
	const runs = groupBy(select(history, 'ran'), ({key}) => key);
	const sentAt = new Map(
		select(history, 'submitted').map(({attempt, at}) => [attempt, at]),
	);
	return select(history, 'refused').flatMap(({attempt, key, at}) => {
		const before = sentAt.get(attempt) ?? at;
		const run = (runs.get(key) ?? []).find(
			(event) =>
				event.attempt === attempt || (!event.idempotent && event.at < before),
		);
		return run
			? [
					{
						subject: attempt,
						detail: `told "not run" at ${at} ms; ${key} ran at ${run.target}, ${run.at} ms`,
					},
				]
			: [];
	});
}

/** A node may start anew with nothing, but within an incarnation it only rises. */
function noVersionWentDown(history: readonly RecordedEvent[]): Finding[] {
	const taken = groupBy(
		select(history, 'versionTaken'),
		({node, incarnation}) => `${node}@${incarnation}`,
	);
	return [...taken].flatMap(([subject, events]) =>
		events.flatMap(({version, at}, index) => {
			const before = events[index - 1];
			return before && before.version > version
				? [{subject, detail: `${before.version} then ${version} at ${at} ms`}]
				: [];
		}),
	);
}

function noAnswerReachedAnother(history: readonly RecordedEvent[]): Finding[] {
	const expected = new Map(
		select(history, 'submitted').map((event) => [
			event.attempt,
			event.expected,
		]),
	);
	return select(history, 'answered')
		.filter(({attempt, digest}) => expected.get(attempt) !== digest)
		.map(({attempt, digest, at}) => ({
			subject: attempt,
			detail: `got an answer with digest ${digest} at ${at} ms`,
		}));
}

function groupBy<T>(
	items: readonly T[],
	keyOf: (item: T) => string,
): Map<string, T[]> {
	const groups = new Map<string, T[]>();
	for (const item of items) {
		const name = keyOf(item);
		const group = groups.get(name) ?? [];
		group.push(item);
		groups.set(name, group);
	}

	return groups;
}

function select<K extends RecordedEvent['kind']>(
	history: readonly RecordedEvent[],
	kind: K,
): Array<OfKind<K>> {
	return history.filter((event): event is OfKind<K> => event.kind === kind);
}
