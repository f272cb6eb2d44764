/**
 * The store that outlives the nodes, as the product uses it: rows with
 * versions, writes under a condition, and a feed of changes.
 */
import type {Result} from 'neverthrow';

/** Where a row is. */
export type RowAddress = {table: string; key: string};

/** A row as it was read. */
export type StoredRow = RowAddress & {
	value: string;
	/** Grows with each change of the row. */
	version: number;
	/** The feed tells so that the row is gone. */
	isRemoved: boolean;
};

/** Rows as of one moment, and the newest version of the store then. */
export type StoreSnapshot = {rows: StoredRow[]; version: number};

/** Why a call has no result. */
export type StoreFailure =
	/** Nothing was done. */
	| {kind: 'unavailable'; detail: string}
	/** A write may have been done, or may still be done while its condition holds. */
	| {kind: 'unknown'; detail: string}
	/** The row has another version than expected; it is undefined when there is none. */
	| {kind: 'conflict'; current: StoredRow | undefined}
	/** The feed no longer has what came after that version. */
	| {kind: 'forgotten'};

/** The store. Calls resolve always, within a time of their own. */
export type RowStore = {
	read(table: string): Promise<Result<StoreSnapshot, StoreFailure>>;
	/** Changes after a version, as soon as there is one or after `wait` milliseconds. */
	changes(
		table: string,
		after: number,
		wait: number,
	): Promise<Result<StoreSnapshot, StoreFailure>>;
	/** Writes if the row has the expected version; 0 means that there is none. Gives the new version. */
	write(
		row: RowAddress & {value: string},
		expectedVersion: number,
	): Promise<Result<number, StoreFailure>>;
	close(): void;
};
