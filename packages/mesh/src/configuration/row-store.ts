/**
 * Interface of the store that outlives the nodes: rows with versions,
 * conditional writes, and a feed of changes.
 */
import type {Result} from 'neverthrow';

/** Table and key of a row. */
export type RowAddress = {table: string; key: string};

/** A row as it was read. */
export type StoredRow = RowAddress & {
	value: string;
	/** Increases with each change of the row. */
	version: number;
	/** Set by the feed when the row was removed. */
	isRemoved: boolean;
};

/** Rows at one point in time, with the newest version of the store at that point. */
export type StoreSnapshot = {rows: StoredRow[]; version: number};

/** Why a call failed. */
export type StoreFailure =
	/** The call was not executed. */
	| {kind: 'unavailable'; detail: string}
	/** A write may have been executed, or may still be executed while its condition holds. */
	| {kind: 'unknown'; detail: string}
	/** The row has another version than expected; `current` is undefined if there is no row. */
	| {kind: 'conflict'; current: StoredRow | undefined}
	/** The feed no longer has the changes after that version. */
	| {kind: 'forgotten'};

/** The store. Calls never reject; each resolves within its own timeout. */
export type RowStore = {
	/**
	 * Reads a table. Values that are longer than `maxValue` characters are left
	 * empty, so that rows of other writers don't take the memory of the process.
	 */
	read(
		table: string,
		maxValue?: number,
	): Promise<Result<StoreSnapshot, StoreFailure>>;
	/** Resolves with the changes after a version, as soon as there is one or after `wait` milliseconds. */
	changes(
		table: string,
		after: number,
		wait: number,
	): Promise<Result<StoreSnapshot, StoreFailure>>;
	/** Writes if the row has the expected version; 0 means that there is no row. Resolves with the new version. */
	write(
		row: RowAddress & {value: string},
		expectedVersion: number,
	): Promise<Result<number, StoreFailure>>;
	close(): void;
};
