/** Finds the line and column of a key within a YAML document. */
import {
	isAlias,
	isMap,
	isNode,
	isScalar,
	isSeq,
	type Document,
	type LineCounter,
	type Pair,
} from 'yaml';
import type {Place} from './finding.js';

/** A path within a document: keys of maps and indices of lists. */
export type DocumentPath = readonly PropertyKey[];

/** Which part of an entry a finding is about. */
export type PlacePart = 'key' | 'value';

/** Returns the place of a path, or of its nearest ancestor if the path does not exist. */
export type PlaceFinder = (path: DocumentPath, part: PlacePart) => Place;

/** Creates a place finder for one parsed document. */
export function createPlaceFinder(
	document: Document,
	lines: LineCounter,
	file: string,
): PlaceFinder {
	return (path, part) => {
		const offset = findOffset(document, path, part);
		const {line, col} = lines.linePos(offset);
		return {file, line: Math.max(1, line), column: Math.max(1, col)};
	};
}

function findOffset(
	document: Document,
	path: DocumentPath,
	part: PlacePart,
): number {
	let node: unknown = document.contents;
	let offset = 0;
	for (const [index, step] of path.entries()) {
		const entry = findEntry(document, node, step);
		if (!entry) {
			return offset;
		}

		const isLast = index === path.length - 1;
		offset = startOf(entry.key) ?? startOf(entry.value) ?? offset;
		if (isLast && part === 'value') {
			return startOf(entry.value) ?? offset;
		}

		node = entry.value;
	}

	return offset;
}

type Entry = {key?: unknown; value: unknown};

function findEntry(
	document: Document,
	node: unknown,
	step: PropertyKey,
): Entry | undefined {
	const target = isAlias(node) ? node.resolve(document) : node;
	if (isMap(target)) {
		const pairs = target.items;
		return pairs.find(({key}) => keyText(key) === String(step));
	}

	const item = isSeq(target) ? target.items[Number(step)] : undefined;
	return item === undefined ? undefined : {value: item};
}

function keyText(key: unknown): string {
	return String(isScalar(key) ? key.value : key);
}

function startOf(node: unknown): number | undefined {
	return isNode(node) ? node.range?.[0] : undefined;
}
