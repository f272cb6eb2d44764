/**
 * A model of overload at the end of a call graph, on a virtual clock and without
 * a network: callers ask at entries, each request makes its calls to one deep
 * service in a row, and the targets' nodes there tell the entries a shed level.
 *
 * Load pattern: demand above what the deep service can run, for seconds. It
 * shows whether the level settles, how much of what is run ends whole, and how
 * soon everybody is let in again. The gate, the level and the order are those
 * that nodes run.
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

/** A kind of request that callers make. */
export type ChainKind = {
	kind: string;
	/** 0 is the highest. */
	priority: number;
	/** Its part of the requests. */
	share: number;
	/** Calls to the deep service, one after the other. */
	calls: number;
	/** Milliseconds of a slot that each call takes, at a target of usual speed. */
	work: number;
	/** Milliseconds before the first call, and between two. */
	before: number;
	between: number;
};

/** What is played. */
export type ChainScenario = {
	kinds: ChainKind[];
	/** Targets of the deep service; they differ in speed by three. */
	targets: number;
	slots: number;
	/** Milliseconds until entries hear of a level. */
	reportDelay: number;
	/** The demand at an instant, over what the targets can run. */
	demandAt: (now: number) => number;
	/** Milliseconds. */
	duration: number;
	seed: number;
};

/** What became of the requests that came in one second. */
export type ChainSecond = {
	/** Work of requests that ended whole, over what the targets can run. */
	goodput: number;
	refused: number;
	failed: number;
	asked: Map<string, number>;
	whole: Map<string, number>;
};

type Target = {
	gate: TargetAdmission<Call>;
	level: ShedLevel;
	speed: number;
};

type Call = {
	kind: ChainKind;
	onEnd: (isWhole: boolean) => void;
};

/** The speeds of targets, by turns. */
const speeds = [0.5, 1, 1, 1.5];
/** Milliseconds that a call may wait, and a request may take. */
const patience = 180;
const timeLimit = 1500;
const millisecondsPerSecond = 1000;

/** Plays a scenario; gives what became of each second's requests. */
export function playChain(scenario: ChainScenario): ChainSecond[] {
	const clock = createVirtualClock();
	const random = createRandom(scenario.seed);
	const targets = createTargets(scenario);
	const capacity = targets.reduce(
		(sum, one) => sum + one.gate.limit() * one.speed,
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
	/** The mean level, as the entries know it. */
	let told = 0;

	const secondOf = (at: number): ChainSecond => {
		const index = Math.floor(at / millisecondsPerSecond);
		seconds[index] ??= {
			goodput: 0,
			refused: 0,
			failed: 0,
			asked: new Map(),
			whole: new Map(),
		};
		return seconds[index];
	};

	const runRequest = (kind: ChainKind) => {
		const at = clock.now();
		const second = secondOf(at);
		count(second.asked, kind.kind);
		if (random.fraction() < shareRefused(told, slices.get(kind.kind) ?? [])) {
			second.refused++;
			return;
		}

		let left = kind.calls;
		const callNext = () => {
			if (clock.now() - at > timeLimit) {
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

		const onEnd = (isWhole: boolean) => {
			if (isWhole) {
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
		const perMillisecond =
			(capacity / workOfRequest) * scenario.demandAt(clock.now());
		clock.setTimer(-Math.log(1 - random.fraction()) / perMillisecond, arrive);
	};

	const update = () => {
		for (const target of targets) {
			updateTarget(target, clock.now());
		}

		const mean =
			targets.reduce((sum, {level}) => sum + level.value(), 0) / targets.length;
		clock.setTimer(scenario.reportDelay, () => {
			told = mean;
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
		gate: createTargetAdmission<Call>(slots),
		level: createShedLevel(),
		speed: speeds[index % speeds.length]!,
	}));
}

/** Milliseconds of slots that a request takes, over all kinds. */
function meanWork(kinds: ChainKind[]): number {
	let work = 0;
	let total = 0;
	for (const kind of kinds) {
		work += kind.share * kind.calls * kind.work;
		total += kind.share;
	}

	return work / total;
}

/** The less occupied of two targets that are drawn gets the call. */
function offer(
	clock: VirtualClock,
	random: Random,
	targets: Target[],
	call: Call,
): void {
	const draw = () => targets[random.below(targets.length)]!;
	const occupancy = ({gate}: Target) =>
		(gate.running() + gate.waiting()) / gate.limit();
	const [left, right] = [draw(), draw()];
	const target = occupancy(left) <= occupancy(right) ? left : right;
	const request = {isNearCompletion: true, priority: 0, maxWait: patience};
	const decision = target.gate.offer(request, call, clock.now());
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
	const spread = 0.4 - 0.6 * Math.log(1 - random.fraction());
	const duration = (kind.work * spread) / target.speed;
	clock.setTimer(duration, () => {
		target.gate.finish(duration);
		onEnd(true);
		for (let next = target.gate.next(); next; next = target.gate.next()) {
			run(clock, random, target, next);
		}
	});
}

function updateTarget({gate, level}: Target, now: number): void {
	for (const call of gate.expire(now)) {
		call.onEnd(false);
	}

	level.update({
		wait: gate.expectedWait(),
		occupancy: gate.running() / gate.limit(),
		arriving: gate.takeArrivals() / shedPeriod,
		declined: 0,
		unserved: 0,
	});
}

function drawKind(kinds: ChainKind[], random: Random): ChainKind {
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
