/**
 * Simulates requests that run at a middle service and make sequential calls to
 * a deep one, on a virtual clock. The decisions of entry nodes and of target
 * nodes are those of the mesh; reports arrive late.
 */
import {
	createRandom,
	createVirtualClock,
	type Random,
	type VirtualClock,
} from '@egretspoke/shared';
import {createCallGraph} from '../src/decisions/admission/call-graph.js';
import {levelOfService} from '../src/decisions/admission/service-level.js';
import {shedPeriod} from '../src/decisions/admission/shed-level.js';
import {
	createTargetAdmission,
	type TargetAdmission,
} from '../src/decisions/admission/target-admission.js';
import type {MeshPolicy} from '../src/decisions/mesh-policy.js';
import {
	createRoutePressure,
	pressureRefreshInterval,
	type RoutePressure,
} from '../src/entry/route-pressure.js';
import {createServiceStates} from '../src/entry/service-states.js';
import type {LinkedTarget} from '../src/links/peer.js';
import {idleLoad} from '../src/links/exchange.js';
import {
	createRepeatedOffers,
	type RepeatedOffers,
} from '../src/target/repeated-offers.js';
import {maxRepeats} from '../src/target/target-dispatcher.js';
import {
	createTargetShedLevel,
	type TargetShedLevel,
} from '../src/target/target-shed-level.js';

/** A kind of request. */
export type FleetKind = {
	route: string;
	/** The first service. */
	first: 'middle' | 'deep';
	priority: number;
	perSecond: number;
	/** Calls to the deep service below the first one. */
	calls: number;
	worth: number;
};

/** The simulated fleet and its trouble. */
export type DecliningFleetOptions = {
	kinds: FleetKind[];
	entries: number;
	targets: number;
	/** Slots of each deep target; it runs a call in `runTime`. */
	slots: number;
	reportDelay: number;
	/** The share of offers that a deep target declines; 0 by default. */
	declinedAt?: (now: number, target: number) => number;
	/** The speed of a deep target, 0 while it is lost; 1 by default. */
	speedAt?: (now: number, target: number) => number;
	duration: number;
	policy: Pick<MeshPolicy, 'has'>;
	seed: number;
};

/** The outcomes of the requests that arrived in one window. */
export type FleetWindow = Map<
	string,
	{requested: number; whole: number; failed: number}
>;

/** The length of a window, in milliseconds. */
export const windowLength = 2000;
/** Milliseconds of a run without its calls. */
export const runTime = 20;
const requestTimeout = 4000;
const maxWait = 250;
const middleTargets = 4;
/** Limits the time for which work stays at a target that is lost. */
const minSpeed = 0.1;
/** Milliseconds in which a target declines an offer. */
const declineTime = 1;
const millisecondsPerSecond = 1000;

type Work = {
	kind: FleetKind;
	isInner: boolean;
	repeats: number;
	run: (target: Target, work: Work) => void;
	onEnd: (isServed: boolean) => void;
};

type Target = {
	index: number;
	isDeep: boolean;
	admission: TargetAdmission<Work>;
	offers: RepeatedOffers;
	level: TargetShedLevel;
};

/** Simulates the fleet and returns the outcomes by window of arrival. */
export function simulateDecliningFleet(
	options: DecliningFleetOptions,
): FleetWindow[] {
	const {kinds, policy, declinedAt = () => 0, speedAt = () => 1} = options;
	const clock = createVirtualClock();
	const random = createRandom(options.seed);
	const deep = createTargets(options.targets, options.slots, policy, true);
	const middleSlots = Math.ceil(
		sum(
			kinds.map(
				({first, perSecond, calls}) =>
					(first === 'middle' ? perSecond : 0) * (1 + calls) * runTime,
			),
		) /
			millisecondsPerSecond /
			middleTargets /
			0.6,
	);
	const middle = createTargets(middleTargets, middleSlots, policy, false);
	const windows: FleetWindow[] = [];
	let reported: LinkedTarget[] = [];
	const entries = Array.from({length: options.entries}, () =>
		createEntry(clock, kinds, policy, () => reported),
	);

	const isUp = ({isDeep, index}: Target) =>
		!isDeep || speedAt(clock.now(), index) > 0;

	const offer = (targets: Target[], work: Work) => {
		const usable = targets.filter((target) => isUp(target));
		if (usable.length === 0) {
			work.onEnd(false);
			return;
		}

		const [left, right] = [draw(usable, random), draw(usable, random)];
		const target = loadOf(left) <= loadOf(right) ? left : right;
		const decision = target.admission.offer(
			{
				isNearCompletion: work.isInner || work.kind.calls === 0,
				priority: work.kind.priority,
				maxWait,
				route: work.isInner ? 'call' : work.kind.route,
			},
			work,
			clock.now(),
		);
		if (decision === 'run') {
			work.run(target, work);
		} else if (decision === 'refuse') {
			work.onEnd(false);
		}
	};

	const free = (
		target: Target,
		{isInner, kind}: Work,
		duration: number | undefined,
	) => {
		target.admission.finish(duration, isInner ? 'call' : kind.route);
		for (
			let next = target.admission.next(clock.now());
			next;
			next = target.admission.next(clock.now())
		) {
			next.run(target, next);
		}
	};

	const runDeep = (target: Target, work: Work) => {
		if (work.repeats === 0) {
			target.offers.recordStart({repeatShare: 0}, clock.now());
		}

		const isDeclined =
			random.fraction() < declinedAt(clock.now(), target.index);
		const duration = isDeclined
			? declineTime
			: (runTime * (0.4 - 0.6 * Math.log(1 - random.fraction()))) /
				Math.max(minSpeed, speedAt(clock.now(), target.index));
		clock.setTimer(duration, () => {
			const now = clock.now();
			if (!isUp(target)) {
				free(target, work, undefined);
				work.onEnd(false);
				return;
			}

			const outcome = isDeclined
				? {kind: 'declined' as const, status: 503}
				: {
						kind: 'answered' as const,
						status: 200,
						headers: [],
						body: new Uint8Array(),
					};
			target.offers.recordOffer(outcome, now);
			if (
				isDeclined &&
				work.repeats < maxRepeats &&
				target.offers.take(work, now)
			) {
				work.repeats++;
				runDeep(target, work);
				return;
			}

			target.offers.recordEnd(work, outcome, now);
			free(target, work, isDeclined ? undefined : duration);
			work.onEnd(!isDeclined);
		});
	};

	const runMiddle = (target: Target, work: Work) => {
		const startedAt = clock.now();
		let left = work.kind.calls;
		const end = (isServed: boolean) => {
			free(target, work, clock.now() - startedAt);
			work.onEnd(isServed);
		};

		const callNext = () => {
			if (left === 0 || clock.now() - startedAt > requestTimeout) {
				end(left === 0);
				return;
			}

			left--;
			offer(deep, {
				kind: work.kind,
				isInner: true,
				repeats: 0,
				run: runDeep,
				onEnd(isServed) {
					if (isServed) {
						callNext();
					} else {
						end(false);
					}
				},
			});
		};

		clock.setTimer(runTime, callNext);
	};

	const receive = (kind: FleetKind) => {
		const counts = countsOf(windows, clock.now(), kind.route);
		counts.requested++;
		const pressure = draw(entries, random);
		const work = {
			route: kind.route,
			service: kind.first,
			priority: kind.priority,
			workspace: undefined,
		};
		pressure.recordRequest(work);
		if (random.fraction() < pressure.shareRefused(work)) {
			return;
		}

		offer(kind.first === 'deep' ? deep : middle, {
			kind,
			isInner: false,
			repeats: 0,
			run: kind.first === 'deep' ? runDeep : runMiddle,
			onEnd(isServed) {
				counts.whole += isServed ? 1 : 0;
				// A declined direct request is a refusal: it has not run.
				counts.failed += isServed || kind.first === 'deep' ? 0 : 1;
			},
		});
	};

	for (const kind of kinds) {
		const arrive = () => {
			receive(kind);
			clock.setTimer(
				(-Math.log(1 - random.fraction()) * millisecondsPerSecond) /
					kind.perSecond,
				arrive,
			);
		};

		clock.setTimer(random.fraction() * 10, arrive);
	}

	const update = () => {
		const now = clock.now();
		const loads = [
			...deep.map((target) => updateTarget(target, isUp(target), now)),
			...middle.map((target) => updateTarget(target, true, now)),
		];
		clock.setTimer(options.reportDelay, () => {
			reported = loads;
		});
		clock.setTimer(shedPeriod, update);
	};

	clock.setTimer(shedPeriod, update);
	clock.advanceTo(options.duration);
	return windows.slice(0, options.duration / windowLength);
}

function createTargets(
	count: number,
	slots: number,
	policy: Pick<MeshPolicy, 'has'>,
	isDeep: boolean,
): Target[] {
	return Array.from({length: count}, (_, index) => {
		const level = createTargetShedLevel(policy);
		return {
			index,
			isDeep,
			admission: createTargetAdmission<Work>(
				slots,
				undefined,
				level.renewBulkhead(),
			),
			offers: createRepeatedOffers({
				policy,
				budget: {ratio: 0.2, window: 10_000},
			}),
			level,
		};
	});
}

/** Creates the pressure of an entry node that knows the call graph. */
function createEntry(
	clock: VirtualClock,
	kinds: FleetKind[],
	policy: Pick<MeshPolicy, 'has'>,
	reported: () => LinkedTarget[],
): RoutePressure {
	const graph = createCallGraph();
	const call = {route: 'call', runTime, calls: [], isLeaf: true};
	for (const service of ['middle', 'deep'] as const) {
		graph.setProfiles(service, service, [
			...(service === 'deep' ? [call] : []),
			...kinds
				.filter(({first}) => first === service)
				.map(({route, calls}) => ({
					route,
					runTime: (1 + calls) * runTime,
					calls: calls > 0 ? [{route: 'call', count: calls}] : [],
					isLeaf: calls === 0,
				})),
		]);
	}

	const pressure = createRoutePressure({
		clock,
		graph,
		policy,
		...createServiceStates({
			clock,
			policy,
			directory: {
				targets: reported,
				membersOf: () => 0,
				shedLevels: () => meanLevels(reported()),
			},
			dispatcher: {load: () => idleLoad, target: () => []},
			reporter: {notice: () => undefined},
		}),
	});
	const refresh = () => {
		pressure.refresh();
		clock.setTimer(pressureRefreshInterval, refresh);
	};

	refresh();
	return pressure;
}

/** The mean level of each service, as the directory calculates it. */
function meanLevels(reported: LinkedTarget[]): Map<string, number> {
	return new Map(
		['middle', 'deep'].map((service) => [
			service,
			levelOfService(
				reported
					.filter((target) => target.service === service)
					.map(({shedLevel}) => ({shedLevel, isRateLimited: false})),
			),
		]),
	);
}

function updateTarget(
	{index, isDeep, admission, offers, level}: Target,
	isUsable: boolean,
	now: number,
): LinkedTarget {
	for (const work of admission.expire(now)) {
		work.onEnd(false);
	}

	const declined = offers.declined(now);
	const occupancy = admission.running() / admission.limit();
	level.update({
		wait: admission.expectedWait(now),
		occupancy,
		arriving: ((1 - declined) * admission.takeArrivals()) / shedPeriod,
		declined,
		unserved: offers.unserved(now),
	});
	return {
		...idleLoad,
		node: `${isDeep ? 'deep' : 'middle'} ${index}`,
		service: isDeep ? 'deep' : 'middle',
		isUsable,
		occupancy: (admission.running() + admission.waiting()) / admission.limit(),
		slots: admission.limit(),
		...level.load(occupancy),
		declined: offers.reportedDeclined(now),
	};
}

function loadOf({admission}: Target): number {
	return (admission.running() + admission.waiting()) / admission.limit();
}

function draw<T>(items: readonly T[], random: Random): T {
	return items[random.below(items.length)]!;
}

function countsOf(windows: FleetWindow[], now: number, route: string) {
	const index = Math.floor(now / windowLength);
	windows[index] ??= new Map();
	const window = windows[index];
	const known = window.get(route) ?? {requested: 0, whole: 0, failed: 0};
	window.set(route, known);
	return known;
}

function sum(values: number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
