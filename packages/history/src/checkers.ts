/**
 * The four guarantees as checks over a history. They use only what targets did
 * and what callers received, so that they share no mistake with the code under
 * test.
 */
import type {RecordedEvent} from './event.js';

/** A broken guarantee, and the events that show it. */
export type Violation = {
	checker: CheckerName;
	/** The key, the attempt or the node that broke it. */
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
 * Detects two violations: an attempt is refused as "not run" and runs at any time,
 * or it is refused although another attempt of its request had run before this one
 * was sent. A run by a concurrent attempt is no violation: "not run" was true when
 * the home sent it. The second violation applies to non-idempotent requests only,
 * because attempts of an idempotent one share nothing by which a node could
 * relate them.
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
						detail: `refused as "not run" at ${at} ms; ${key} ran at ${run.target}, ${run.at} ms`,
					},
				]
			: [];
	});
}

/** A restarted node may begin without a version, but within an incarnation versions only increase. */
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
			detail: `received a response with digest ${digest} at ${at} ms`,
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
