/** Runs one schedule: a world, its callers, and the faults that the seed selects. */
import {
	checkHistory,
	createRecorder,
	type RecordedEvent,
	type Violation,
} from '@egretspoke/history';
import {
	createRandom,
	createVirtualClock,
	sleep,
	type Clock,
	type Random,
} from '@egretspoke/shared';
import {handlers, type HandlerName} from './handlers.js';
import {createFakeCallers, type CallerCounts} from './fake-callers.js';
import {createFakeWorld, type FakeWorld} from './fake-world.js';
import {faultKinds, faults, type FaultKind} from './fault-kinds.js';

/** Options of a run. */
export type ScheduleOptions = {
	seed: number;
	handler: HandlerName;
	/** Faults to inject instead of those that the seed selects. */
	kinds?: FaultKind[];
};

/** Result of a run. */
export type ScheduleResult = {
	seed: number;
	requests: number;
	faults: FaultKind[];
	callers: CallerCounts;
	versions: number;
	violations: Violation[];
	history: readonly RecordedEvent[];
};

const requestCount = 40;
/** Must be coprime with the number of combinations, so that all of them are selected. */
const combinationStep = 67;
const discardedDraws = 32;
/** Configuration changes, in addition to those of the faults. */
const changeCount = 4;
/** Start, windows for requests and faults, last configuration change, and end, in milliseconds. */
const times = {
	start: 2500,
	arrivals: 3000,
	faultWindow: 2800,
	lastChange: 8000,
	end: 16_000,
};

/** Runs one schedule; the same options give the same result. */
export async function runSchedule(
	options: ScheduleOptions,
): Promise<ScheduleResult> {
	const {seed, handler} = options;
	const clock = createVirtualClock();
	const random = createScheduleRandom(seed);
	const recorder = createRecorder(clock);
	const kinds = options.kinds ?? chooseKinds(seed);
	const world = createFakeWorld({
		clock,
		random: random.fork(),
		recorder,
		handlers: handlers[handler],
	});
	const callers = createFakeCallers({
		clock,
		random: random.fork(),
		recorder,
		processes: world.processes,
	});
	const draw = random.fork();
	for (let change = 0; change < changeCount; change++) {
		void startAt(
			clock,
			draw.below(times.lastChange),
			world.changeConfiguration,
		);
	}

	for (let number = 0; number < requestCount; number++) {
		const at = times.start + draw.below(times.arrivals);
		void startAt(clock, at, async () => callers.send(number));
	}

	for (const kind of kinds) {
		scheduleFault(kind, {clock, world, random: draw.fork()});
	}

	await clock.runTo(times.end);
	world.stop();
	const history = recorder.history();
	return {
		seed,
		requests: requestCount,
		faults: kinds,
		callers: callers.counts(),
		versions: history.filter(({kind}) => kind === 'versionTaken').length,
		violations: checkHistory(history),
		history,
	};
}

/**
 * Selects one fault, or two that may overlap. Consecutive seeds, as many as there
 * are combinations, select each once; the step spreads a short range over all.
 */
function chooseKinds(seed: number): FaultKind[] {
	const singles = faultKinds.map((kind) => [kind]);
	const pairs = faultKinds.flatMap((first, index) =>
		faultKinds.slice(index).map((second) => [first, second]),
	);
	const combinations = [...singles, ...pairs];
	return combinations[(seed * combinationStep) % combinations.length]!;
}

/** Discards the first numbers, because they are similar for neighbouring seeds. */
function createScheduleRandom(seed: number): Random {
	const random = createRandom(seed);
	for (let draw = 0; draw < discardedDraws; draw++) {
		random.fraction();
	}

	return random;
}

function scheduleFault(
	kind: FaultKind,
	{clock, world, random}: {clock: Clock; world: FakeWorld; random: Random},
): void {
	const at = times.start + random.below(times.faultWindow);
	// Long faults exceed the lease, so that some nodes have expired when they resume.
	const duration = 50 + random.below(random.below(2) === 0 ? 700 : 4500);
	clock.setTimer(at, () => {
		const recover = faults[kind](world, random);
		clock.setTimer(duration, recover);
	});
}

async function startAt(
	clock: Clock,
	delay: number,
	work: () => Promise<void>,
): Promise<void> {
	await sleep(clock, delay);
	await work();
}
