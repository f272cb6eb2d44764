/** An in-memory store that counts its calls, for specs of modules that read or write the store. */
import {err, ok} from 'neverthrow';
import type {RowStore, StoredRow} from '../src/configuration/row-store.js';

/** The store, with its rows and the number of calls so far. */
export type RowStoreStandIn = RowStore & {
	calls: {read: number; changes: number; write: number};
	rows: Map<string, StoredRow>;
	/** Whether writes fail. */
	isDown: boolean;
};

/** Creates an empty store; `pause` implements the wait for changes. */
export function createRowStoreStandIn(
	pause: (milliseconds: number) => Promise<void> = async () => undefined,
): RowStoreStandIn {
	const rows = new Map<string, StoredRow>();
	const calls = {read: 0, changes: 0, write: 0};
	let version = 0;
	const list = (table: string) =>
		[...rows.values()].filter((row) => row.table === table);
	const store: RowStoreStandIn = {
		calls,
		rows,
		isDown: false,
		async read(table) {
			calls.read++;
			return ok({rows: list(table), version});
		},
		async changes(table, after, wait) {
			calls.changes++;
			await pause(wait);
			return ok({
				rows: list(table).filter((row) => row.version > after),
				version,
			});
		},
		async write(row, expectedVersion) {
			calls.write++;
			if (store.isDown) {
				return err({kind: 'unavailable', detail: 'down'});
			}

			const current = rows.get(row.key);
			if ((current?.version ?? 0) !== expectedVersion) {
				return err({kind: 'conflict', current});
			}

			version++;
			rows.set(row.key, {...row, version, isRemoved: false});
			return ok(version);
		},
		close: () => undefined,
	};
	return store;
}
