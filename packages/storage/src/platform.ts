/**
 * The interface of the platform: a transactional table and an object store. Both
 * have outages, and the response to a write can be lost after the write took
 * effect, so a failed write is either without effect or unknown.
 */
import type {ResultAsync} from 'neverthrow';

/** A row: a key, a version that increases with each write, and a text. */
export type Row = {key: string; version: number; value: string};

/** One write of a transaction; either all writes take effect or none. */
export type TableWrite =
	| {kind: 'put'; key: string; value: string; ifVersion?: number}
	| {kind: 'delete'; key: string; ifVersion?: number};

/** Why a call to the platform failed. */
export type PlatformError = {
	/**
	 * `unavailable`: the call certainly had no effect. `unknown`: a write may have
	 * taken effect. `conflict`: a condition did not hold; nothing was written.
	 */
	kind: 'unavailable' | 'unknown' | 'conflict';
	detail: string;
};

/** The table. `ifVersion: 0` requires that the row does not exist. */
export type Table = {
	read(key: string): ResultAsync<Row | undefined, PlatformError>;
	/** Returns the rows whose key starts with the prefix, in key order. */
	list(prefix: string): ResultAsync<Row[], PlatformError>;
	transact(writes: TableWrite[]): ResultAsync<Row[], PlatformError>;
};

/** The object store: texts by name, read and written whole. */
export type ObjectStore = {
	get(name: string): ResultAsync<string | undefined, PlatformError>;
	put(name: string, body: string): ResultAsync<void, PlatformError>;
};

/** The table and the object store. */
export type Platform = {table: Table; objects: ObjectStore};
