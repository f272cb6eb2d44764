/** Counts the failures of the store for the metrics. */
import type {MeshMetrics} from '@egretspoke/observability';
import type {Result} from 'neverthrow';
import type {RowStore, StoreFailure} from './row-store.js';

/** Wraps a store; a conflict and a forgotten history are results, not failures. */
export function createCountedStore(
	store: RowStore,
	metrics: Pick<MeshMetrics, 'storeFailed'>,
): RowStore {
	const counted = async <T>(
		call: string,
		pending: Promise<Result<T, StoreFailure>>,
	): Promise<Result<T, StoreFailure>> => {
		const result = await pending;
		if (
			result.isErr() &&
			(result.error.kind === 'unavailable' || result.error.kind === 'unknown')
		) {
			metrics.storeFailed(call);
		}

		return result;
	};

	return {
		read: async (table, maxValue) =>
			counted('read', store.read(table, maxValue)),
		changes: async (table, after, wait) =>
			counted('changes', store.changes(table, after, wait)),
		write: async (row, expectedVersion) =>
			counted('write', store.write(row, expectedVersion)),
		close() {
			store.close();
		},
	};
}
