/** Size limits for tables whose keys come from outside. */

/** Finds the entry, or creates it; a full table drops its oldest entry first. */
export function findOrAdd<Key, Value>(
	table: Map<Key, Value>,
	key: Key,
	limit: number,
	create: () => Value,
): Value {
	const existing = table.get(key);
	if (existing !== undefined) {
		return existing;
	}

	if (table.size >= limit) {
		const oldest = table.keys().next();
		if (!oldest.done) {
			table.delete(oldest.value);
		}
	}

	const added = create();
	table.set(key, added);
	return added;
}
