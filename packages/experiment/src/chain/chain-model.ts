/**
 * Simulates overload of the last service of a call graph, on a virtual clock
 * and without a network: callers send requests to entry nodes, each request
 * makes sequential calls to one deep service, and its nodes report a shed level
 * to the entry nodes.
 *
 * Load pattern: demand above the capacity of the deep service for seconds.
 */
import {
	createTargetAdmission,
	createShedLevel,
	orderLoad,
	shareRefused,
	shedPeriod,
	type TargetAdmission,
	type ShedLevel,
} from '@egretspoke/mesh';
import {
	createRandom,
	createVirtualClock,
	type Random,
	type VirtualClock,
} from '@egretspoke/shared';

/** A kind of request. */
export type RequestKind = {
	kind: string;
	/** 0 is the highest. */
	priority: number;
	/** Relative frequency. */
	share: number;
	/** Sequential calls to the deep service. */
	calls: number;
	/** Slot time of each call at a target of speed 1, in milliseconds. */
	work: number;
	/** Milliseconds before the first call, and between two calls. */
	before: number;
	between: number;
};

/** The simulated load and deployment. */
export type ChainScenario = {
	kinds: RequestKind[];
	/** Number of targets of the deep service; their speeds differ by a factor of up to three. */
	targets: number;
	slots: number;
	/** Delay of level reports to the entry nodes, in milliseconds. */
	reportDelay: number;
	/** Demand at an instant, relative to the capacity of the targets. */
	demandAt: (now: number) => number;
	/** Milliseconds. */
	duration: number;
	seed: number;
};

/** Outcomes of the requests that arrived in one second. */
export type ChainSecond = {
	/** Work of completed requests, relative to the capacity of the targets. */
	goodput: number;
	refused: number;
	failed: number;
	/** Number of requests by kind: received, and completed. */
	requested: Map<string, number>;
	whole: Map<string, number>;
};

type Target = {
	admission: TargetAdmission<Call>;
	level: ShedLevel;
	speed: number;
};

type Call = {
	kind: RequestKind;
	onEnd: (isSuccessful: boolean) => void;
};

/** Speeds of the targets, assigned cyclically. */
const speeds = [0.5, 1, 1, 1.5];
/** Maximum queue time of a call and maximum duration of a request, in milliseconds. */
const maxWait = 180;
const requestTimeout = 1500;
const millisecondsPerSecond = 1000;

/**
 * Simulates a scenario; returns the outcomes by second of arrival. They show
 * whether the level settles, how many of the admitted requests complete, and
 * how soon all requests are admitted again. Target admission, the shed level
 * and the shedding order are those of the nodes.
 */
export function simulateChain(scenario: ChainScenario): ChainSecond[] {
	const clock = createVirtualClock();
	const random = createRandom(scenario.seed);
	const targets = createTargets(scenario);
	const capacity = targets.reduce(
		(sum, target) => sum + target.admission.limit() * target.speed,
		0,
	);
	const seconds: ChainSecond[] = [];
	const slices = orderLoad(
		scenario.kinds.map(({kind, priority, share, calls, work}) => ({
			kind,
			priority,
			requests: share,
			cost: calls * work,
		})),
	);
	/** The mean level last reported to the entry nodes. */
	let reportedLevel = 0;

	const getSecond = (at: number): ChainSecond => {
		const index = Math.floor(at / millisecondsPerSecond);
		seconds[index] ??= {
			goodput: 0,
			refused: 0,
			failed: 0,
			requested: new Map(),
			whole: new Map(),
		};
		return seconds[index];
	};

	const runRequest = (kind: RequestKind) => {
		const at = clock.now();
		const second = getSecond(at);
		count(second.requested, kind.kind);
		if (
			random.fraction() <
			shareRefused(reportedLevel, slices.get(kind.kind) ?? [])
		) {
			second.refused++;
			return;
		}

		let left = kind.calls;
		const callNext = () => {
			if (clock.now() - at > requestTimeout) {
				second.failed++;
			} else if (left === 0) {
				count(second.whole, kind.kind);
				second.goodput +=
					(kind.calls * kind.work) / (capacity * millisecondsPerSecond);
			} else {
				left--;
				offer(clock, random, targets, {kind, onEnd});
			}
		};

		const onEnd = (isSuccessful: boolean) => {
			if (isSuccessful) {
				clock.setTimer(kind.between, callNext);
			} else {
				second.failed++;
			}
		};

		clock.setTimer(kind.before, callNext);
	};

	const workOfRequest = meanWork(scenario.kinds);
	const arrive = () => {
		runRequest(drawKind(scenario.kinds, random));
		const arrivalsPerMillisecond =
			(capacity / workOfRequest) * scenario.demandAt(clock.now());
		clock.setTimer(
			-Math.log(1 - random.fraction()) / arrivalsPerMillisecond,
			arrive,
		);
	};

	const update = () => {
		for (const target of targets) {
			updateTarget(target, clock.now());
		}

		const mean =
			targets.reduce((sum, {level}) => sum + level.value(), 0) / targets.length;
		clock.setTimer(scenario.reportDelay, () => {
			reportedLevel = mean;
		});
		clock.setTimer(shedPeriod, update);
	};

	clock.setTimer(0, arrive);
	clock.setTimer(shedPeriod, update);
	clock.advanceTo(scenario.duration);
	return seconds;
}

function createTargets({targets, slots}: ChainScenario): Target[] {
	return Array.from({length: targets}, (_, index) => ({
		admission: createTargetAdmission<Call>(slots),
		level: createShedLevel(),
		speed: speeds[index % speeds.length]!,
	}));
}

/** Mean slot time of a request over all kinds, in milliseconds. */
function meanWork(kinds: RequestKind[]): number {
	let work = 0;
	let total = 0;
	for (const kind of kinds) {
		work += kind.share * kind.calls * kind.work;
		total += kind.share;
	}

	return work / total;
}

/** Offers a call to the less occupied of two random targets. */
function offer(
	clock: VirtualClock,
	random: Random,
	targets: Target[],
	call: Call,
): void {
	const draw = () => targets[random.below(targets.length)]!;
	const occupancy = ({admission}: Target) =>
		(admission.running() + admission.waiting()) / admission.limit();
	const [left, right] = [draw(), draw()];
	const target = occupancy(left) <= occupancy(right) ? left : right;
	const request = {isNearCompletion: true, priority: 0, maxWait};
	const decision = target.admission.offer(request, call, clock.now());
	if (decision === 'run') {
		run(clock, random, target, call);
	} else if (decision === 'refuse') {
		call.onEnd(false);
	}
}

function run(
	clock: VirtualClock,
	random: Random,
	target: Target,
	{kind, onEnd}: Call,
): void {
	const workFactor = 0.4 - 0.6 * Math.log(1 - random.fraction());
	const duration = (kind.work * workFactor) / target.speed;
	clock.setTimer(duration, () => {
		target.admission.finish(duration);
		onEnd(true);
		for (
			let next = target.admission.next(clock.now());
			next;
			next = target.admission.next(clock.now())
		) {
			run(clock, random, target, next);
		}
	});
}

function updateTarget({admission, level}: Target, now: number): void {
	for (const call of admission.expire(now)) {
		call.onEnd(false);
	}

	level.update({
		wait: admission.expectedWait(now),
		occupancy: admission.running() / admission.limit(),
		arriving: admission.takeArrivals() / shedPeriod,
		declined: 0,
		unserved: 0,
	});
}

function drawKind(kinds: RequestKind[], random: Random): RequestKind {
	const total = kinds.reduce((sum, {share}) => sum + share, 0);
	let left = random.fraction() * total;
	for (const kind of kinds) {
		left -= kind.share;
		if (left < 0) {
			return kind;
		}
	}

	return kinds.at(-1)!;
}

function count(counts: Map<string, number>, kind: string): void {
	counts.set(kind, (counts.get(kind) ?? 0) + 1);
}
