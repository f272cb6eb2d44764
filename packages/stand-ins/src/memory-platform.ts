/**
 * In-memory platform: a transactional table and an object store, with injected
 * faults. It can be down, be slow, and lose the answer to a write after the
 * write took effect.
 */
import type {
	Platform,
	PlatformError,
	Row,
	TableWrite,
} from '@egretspoke/storage';
import {sleep, type Clock} from '@egretspoke/shared';
import {err, ok, ResultAsync, type Result} from 'neverthrow';

/** Injected faults; they apply until they are changed. */
export type PlatformFaults = {
	/** Refuses every call without an effect. */
	down: boolean;
	/** Delay of each call before it takes effect, in milliseconds. */
	delay: number;
	/** Number of following writes whose answer is lost after they take effect. */
	lostAnswers: number;
};

/** Number of calls since creation, including failed ones. */
export type PlatformCounters = {reads: number; writes: number};

/** An in-memory platform with its faults and counters. */
export type MemoryPlatform = Platform & {
	faults: PlatformFaults;
	counters: PlatformCounters;
	/** Returns a client of the platform whose calls fail while `isCutOff` returns true. */
	connectFrom(isCutOff: () => boolean): Platform;
};

/** Client timeout in milliseconds. */
const defaultTimeout = 2000;

/** Creates an empty platform; `timeout` limits the duration of slow calls, in milliseconds. */
export function createMemoryPlatform(options: {
	clock: Clock;
	timeout?: number;
}): MemoryPlatform {
	const {clock, timeout = defaultTimeout} = options;
	const faults: PlatformFaults = {down: false, delay: 0, lostAnswers: 0};
	const counters: PlatformCounters = {reads: 0, writes: 0};
	const rows = new Map<string, Row>();
	const objects = new Map<string, string>();
	const sequence = {next: 1};

	const read = <T>(isCutOff: () => boolean, lookUp: () => T) =>
		run(async () => {
			counters.reads++;
			if (isCutOff() || faults.down) {
				return err(unavailable);
			}

			const {delay} = faults;
			if (delay > 0) {
				await sleep(clock, Math.min(delay, timeout));
			}

			return delay > timeout || faults.down || isCutOff()
				? err(unavailable)
				: ok(lookUp());
		});

	const write = <T>(
		isCutOff: () => boolean,
		apply: () => Result<T, PlatformError>,
	) =>
		run<T>(async () => {
			counters.writes++;
			if (isCutOff() || faults.down) {
				return err(unavailable);
			}

			const {delay} = faults;
			if (delay > timeout) {
				clock.setTimer(delay, apply);
				await sleep(clock, timeout);
				return err(unknown);
			}

			if (delay > 0) {
				await sleep(clock, delay);
			}

			const result = apply();
			if (faults.lostAnswers > 0) {
				faults.lostAnswers--;
				return err(unknown);
			}

			return isCutOff() ? err(unknown) : result;
		});

	const connectFrom = (isCutOff: () => boolean): Platform => ({
		table: {
			read: (key) => read(isCutOff, () => rows.get(key)),
			list: (prefix) => read(isCutOff, () => listRows(rows, prefix)),
			transact: (writes) =>
				write(isCutOff, () => applyWrites(rows, writes, sequence)),
		},
		objects: {
			get: (name) => read(isCutOff, () => objects.get(name)),
			put: (name, body) =>
				write(isCutOff, () => {
					objects.set(name, body);
					return ok(undefined);
				}),
		},
	});

	return {...connectFrom(() => false), faults, counters, connectFrom};
}

const unavailable: PlatformError = {
	kind: 'unavailable',
	detail: 'the platform is down',
};

const unknown: PlatformError = {
	kind: 'unknown',
	detail: 'the answer of the platform was lost',
};

function run<T>(
	call: () => Promise<Result<T, PlatformError>>,
): ResultAsync<T, PlatformError> {
	return new ResultAsync(call());
}

function listRows(rows: Map<string, Row>, prefix: string): Row[] {
	return [...rows.values()]
		.filter(({key}) => key.startsWith(prefix))
		.sort((left, right) => (left.key < right.key ? -1 : 1));
}

/** Applies all writes or none; versions are never reused, not even after a deletion. */
function applyWrites(
	rows: Map<string, Row>,
	writes: TableWrite[],
	sequence: {next: number},
): Result<Row[], PlatformError> {
	for (const {key, ifVersion} of writes) {
		const current = rows.get(key)?.version ?? 0;
		if (ifVersion !== undefined && ifVersion !== current) {
			return err({
				kind: 'conflict',
				detail: `${key} is at version ${current}, not ${ifVersion}`,
			});
		}
	}

	const written: Row[] = [];
	for (const item of writes) {
		if (item.kind === 'delete') {
			rows.delete(item.key);
			continue;
		}

		const row = {key: item.key, version: sequence.next++, value: item.value};
		rows.set(item.key, row);
		written.push(row);
	}

	return ok(written);
}
