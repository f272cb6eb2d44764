/** Changes valid data at random places into what another program could write. */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import fc from 'fast-check';

/** Seed and number of runs; longer runs and other seeds are chosen by the environment. */
export function fuzzOptions(runs: number): {seed: number; numRuns: number} {
	const factor = Number(process.env.EGRETSPOKE_FUZZ_FACTOR ?? '1');
	const seed = Number(process.env.EGRETSPOKE_FUZZ_SEED ?? '1');
	return {seed, numRuns: Math.max(1, Math.round(runs * factor))};
}

/** Stands for a field that is missing. */
const missing = Symbol('missing');

const oddValue: fc.Arbitrary<unknown> = fc.oneof(
	fc.constantFrom<unknown>(
		missing,
		null,
		true,
		-1,
		0,
		0.5,
		70_000,
		1e300,
		-1e300,
		2 ** 53,
		Number.NaN,
		Number.POSITIVE_INFINITY,
		'',
		'constructor',
		'__proto__',
		'127.0.0.1:99999',
		'127.0.0.1:0',
		'[::1]:1',
		'[::1',
		'host.example:1',
		'%E0%A4%A',
		'a\r\nb: c',
		'x'.repeat(50_000),
		[],
		{},
		[[[[[[]]]]]],
		Array.from({length: 300}, () => null),
		Object.fromEntries([['__proto__', {node: 'odd', kind: 'hello'}]]),
		Buffer.from([0, 255]),
	),
	fc.integer(),
	fc.double(),
	fc.string(),
);

/** A place in the data, chosen by its number, and what it is changed to. */
type Change = {place: number; value: unknown};

/** One to three changes. */
export const changes: fc.Arbitrary<Change[]> = fc.array(
	fc.record({place: fc.nat(), value: oddValue}),
	{minLength: 1, maxLength: 3},
);

/** Returns a copy of the data with the changes. */
export function applyChanges(data: unknown, list: readonly Change[]): unknown {
	const root = {data: structuredClone(data)};
	for (const {place, value} of list) {
		const places = listPlaces(root);
		const found = places[place % places.length];
		if (!found) {
			break;
		}

		const [container, key] = found;
		if (value === missing) {
			Reflect.deleteProperty(container, key);
		} else {
			// Not an assignment, by which a key `__proto__` would set the prototype.
			Object.defineProperty(container, key, {
				value: structuredClone(value),
				writable: true,
				enumerable: true,
				configurable: true,
			});
		}
	}

	return root.data;
}

type Container = Record<string, unknown>;

function listPlaces(container: Container): Array<[Container, string]> {
	return Object.entries(container).flatMap(([key, value]) => {
		const isContainer =
			typeof value === 'object' &&
			value !== null &&
			!(value instanceof Uint8Array);
		return [
			[container, key] as [Container, string],
			...(isContainer ? listPlaces(value as Container) : []),
		];
	});
}

/** Changes of encoded bytes: none, cut, or changed at one place. */
export const byteChanges: fc.Arbitrary<(bytes: Uint8Array) => Uint8Array> =
	fc.oneof(
		{
			weight: 6,
			arbitrary: fc.constant((bytes: Uint8Array) => bytes),
		},
		fc
			.nat()
			.map(
				(end) => (bytes: Uint8Array) => bytes.subarray(0, end % bytes.length),
			),
		fc
			.tuple(fc.nat(), fc.nat(255))
			.map(([place, value]) => (bytes: Uint8Array) => {
				const changed = Buffer.from(bytes);
				changed[place % changed.length] = value;
				return changed;
			}),
	);
