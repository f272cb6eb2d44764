/**
 * The platform as the rest of the project sees it: a transactional table and
 * an object store. Both have outages, and the answer to a write can be lost
 * after the write took effect, so a write has three results.
 */
import type {ResultAsync} from 'neverthrow';

/** A row: a key, a version that grows with each write, and a text. */
export type Row = {key: string; version: number; value: string};

/** One write of a transaction; all take effect or none. */
export type TableWrite =
	| {kind: 'put'; key: string; value: string; ifVersion?: number}
	| {kind: 'delete'; key: string; ifVersion?: number};

/** Why a call to the platform has no result. */
export type PlatformError = {
	/**
	 * `unavailable`: it certainly had no effect. `unknown`: a write may have
	 * taken effect. `conflict`: a condition didn't hold; nothing was written.
	 */
	kind: 'unavailable' | 'unknown' | 'conflict';
	detail: string;
};

/** The table service. `ifVersion: 0` means that the row must not exist. */
export type Table = {
	read(key: string): ResultAsync<Row | undefined, PlatformError>;
	/** Rows whose key starts with the prefix, in key order. */
	list(prefix: string): ResultAsync<Row[], PlatformError>;
	transact(writes: TableWrite[]): ResultAsync<Row[], PlatformError>;
};

/** The object store: whole bodies by name. */
export type ObjectStore = {
	get(name: string): ResultAsync<string | undefined, PlatformError>;
	put(name: string, body: string): ResultAsync<void, PlatformError>;
};

/** Both services. */
export type Platform = {table: Table; objects: ObjectStore};
