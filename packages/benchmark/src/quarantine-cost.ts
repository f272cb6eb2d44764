/** Measures the cost of a quarantine lookup for a request in nanoseconds. */
import {performance} from 'node:perf_hooks';
import {createVirtualClock} from '@egretspoke/shared';
import {
	createQuarantine,
	identifyRequest,
	type Quarantine,
	type RequestParts,
} from '@egretspoke/quarantine';
import {computeMedianCost} from './median.js';

/** Median cost of a lookup in nanoseconds. */
export type QuarantineCosts = {
	/** No target has crashed. */
	lookWhenEmpty: number;
	/** All suspects have other paths. */
	lookOnOtherPath: number;
	/** The request is a suspect, without a body and with one of 50 kB. */
	lookAtSuspect: number;
	lookAtLargeSuspect: number;
};

const batches = 2000;
const batchSize = 50;
const largeBody = 50_000;
/** Number of crashes, and requests of each, that fill a quarantine. */
const fillingCrashes = 12;
const requestsOfCrash = 128;

/** Measures lookups in an empty and in a full quarantine. */
export function measureQuarantine(): QuarantineCosts {
	const empty = createIsolatedQuarantine();
	const full = createIsolatedQuarantine();
	for (let crash = 0; crash < fillingCrashes; crash++) {
		recordCrash(full, (index) => createParts(`${crash}-${index}`));
	}

	const small = createParts('suspect');
	const large = {...small, body: new Uint8Array(largeBody)};
	recordCrash(full, (index) => (index === 0 ? small : large));
	const other = createParts('other');
	return {
		lookWhenEmpty: measureLookup(empty, other),
		lookOnOtherPath: measureLookup(full, other),
		lookAtSuspect: measureLookup(full, small),
		lookAtLargeSuspect: measureLookup(full, large),
	};
}

function createIsolatedQuarantine(): Quarantine {
	const ignore = () => undefined;
	return createQuarantine({
		clock: createVirtualClock(),
		broadcast: ignore,
		gossip: ignore,
		persist: ignore,
		onQuarantined: ignore,
	});
}

function createParts(name: string): RequestParts {
	return {
		caller: '',
		method: 'GET',
		host: 'shop.example',
		path: `/read/${name}?page=5&sort=new`,
		body: new Uint8Array(),
	};
}

function recordCrash(
	quarantine: Quarantine,
	partsOf: (index: number) => RequestParts,
): void {
	quarantine.recordCrash(
		Array.from({length: requestsOfCrash}, (_, index) => ({
			identity: identifyRequest(partsOf(index)),
			startedAt: 0,
			crashes: 0,
		})),
	);
}

function measureLookup(quarantine: Quarantine, parts: RequestParts): number {
	const durations: number[] = [];
	for (let batch = 0; batch < batches; batch++) {
		const begin = performance.now();
		for (let index = 0; index < batchSize; index++) {
			quarantine.lookUp(parts.path, parts.body.byteLength, () => parts);
		}

		durations.push(performance.now() - begin);
	}

	return computeMedianCost(durations, batchSize);
}
