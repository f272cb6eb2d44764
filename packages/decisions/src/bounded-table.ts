/** Tables whose keys come from outside and which must not grow without end. */

/** Finds the entry, or adds one in place of the oldest when the table is full. */
export function findOrAdd<Key, Value>(
	table: Map<Key, Value>,
	key: Key,
	limit: number,
	create: () => Value,
): Value {
	const known = table.get(key);
	if (known !== undefined) {
		return known;
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
