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
import {
	createCallProfile,
	profilePeriod,
	type CallProfile,
} from '../src/decisions/admission/call-profile.js';
import {createCallGraph} from '../src/decisions/admission/call-graph.js';
import {levelOfService} from '../src/decisions/admission/service-level.js';
import {shedPeriod} from '../src/decisions/admission/shed-level.js';
import {
	createTargetAdmission,
	type TargetAdmission,
} from '../src/decisions/admission/target-admission.js';
import {
	createRetryBudget,
	leafRetryShare,
	nonLeafRetryShare,
	type RetryBudget,
} from '../src/decisions/repeats/retry-budget.js';
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
	/** Services above the middle one, each of which makes one call to the next; 0 by default. */
	servicesAbove?: number;
	/** Whether a failed run may be repeated; false by default. */
	isIdempotent?: boolean;
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
	/** The load as a multiple of the usual one; 1 by default. */
	loadAt?: (now: number) => number;
	/** The share of the load of the deep service that each target gets; by their occupancy by default. */
	loadShares?: number[];
	/** The maximum number of times that a request is sent to a target; 1 by default. */
	attempts?: number;
	/** Retries that operators allow in each window regardless of load; 48 by default. */
	allowance?: number;
	/** Records what the bound on repeats at the deep service applies to. */
	arrivals?: DeepArrivals;
	duration: number;
	policy: Pick<MeshPolicy, 'has'>;
	seed: number;
};

/** The outcomes of the requests that arrived in one window. */
export type FleetWindow = Map<
	string,
	{requested: number; whole: number; failed: number}
>;

/** The times of requests for the deep service and of arrivals at its targets beyond the first of each request. */
export type DeepArrivals = {requests: number[]; repeats: number[]};

/** The length of a window, in milliseconds. */
export const windowLength = 2000;
/** Milliseconds of a run without its calls. */
export const runTime = 20;
const requestTimeout = 4000;
const maxWait = 250;
const middleTargets = 4;
/** The refusals of one request after which it is rejected. */
const maxRefusals = 3;
/** The services, the deepest first. */
const serviceNames = ['deep', 'middle', 'upper', 'front'];
/** Limits the time for which work stays at a target that is lost. */
const minSpeed = 0.1;
/** Milliseconds in which a target declines an offer. */
const declineTime = 1;
const millisecondsPerSecond = 1000;

type Outcome = 'served' | 'declined' | 'failed' | 'refused';

type Work = {
	kind: FleetKind;
	isInner: boolean;
	/** The services above the deep one that are left below this run; -1 at the deep one. */
	servicesBelow: number;
	/** What the target's node is told of it. */
	repeatShare: number;
	/** A target received it before, or the run that made the call was a repeat. */
	isRepeat: boolean;
	repeats: number;
	run: (target: Target, work: Work) => void;
	onEnd: (outcome: Outcome) => void;
};

/** A node that forwards requests. */
type Entry = {pressure: RoutePressure; budget: RetryBudget};

type Target = {
	index: number;
	isDeep: boolean;
	admission: TargetAdmission<Work>;
	offers: RepeatedOffers;
	profile: CallProfile;
	level: TargetShedLevel;
};

/** Simulates the fleet and returns the outcomes by window of arrival. */
export function simulateDecliningFleet(
	options: DecliningFleetOptions,
): FleetWindow[] {
	const {
		kinds,
		policy,
		declinedAt = () => 0,
		speedAt = () => 1,
		loadAt = () => 1,
		attempts = 1,
	} = options;
	const clock = createVirtualClock();
	const random = createRandom(options.seed);
	const deep = createTargets(options.targets, options.slots, options, true);
	const middleSlots = Math.ceil(
		sum(
			kinds.map(
				({first, perSecond, calls, servicesAbove = 0}) =>
					(first === 'middle' ? perSecond : 0) *
					(1 + servicesAbove + calls) *
					runTime,
			),
		) /
			millisecondsPerSecond /
			middleTargets /
			0.6,
	);
	const mostAbove = Math.max(
		...kinds.map(({servicesAbove = 0}) => servicesAbove),
	);
	/** The targets of the services above the deep one, the middle one first. */
	const upper = Array.from({length: 1 + mostAbove}, () =>
		createTargets(middleTargets, middleSlots, options, false),
	);
	const windows: FleetWindow[] = [];
	let reported: LinkedTarget[] = [];
	const entries = Array.from({length: options.entries}, () =>
		createEntry(clock, options, () => reported),
	);

	const isUp = ({isDeep, index}: Target) =>
		!isDeep || speedAt(clock.now(), index) > 0;

	const chooseTarget = (usable: Target[]): Target => {
		const {loadShares} = options;
		if (loadShares && usable[0]!.isDeep) {
			let rest = random.fraction();
			for (const target of usable) {
				rest -= loadShares[target.index]!;
				if (rest < 0) {
					return target;
				}
			}
		}

		const [left, right] = [draw(usable, random), draw(usable, random)];
		return loadOf(left) <= loadOf(right) ? left : right;
	};

	const offer = (targets: Target[], work: Work) => {
		const usable = targets.filter((target) => isUp(target));
		if (usable.length === 0) {
			work.onEnd('refused');
			return;
		}

		const target = chooseTarget(usable);
		const {kind, isInner, repeatShare} = work;
		const now = clock.now();
		const decision = target.admission.offer(
			{
				isNearCompletion: isInner || kind.calls === 0,
				priority: kind.priority,
				maxWait,
				route: routeOf(work),
			},
			work,
			now,
		);
		if (decision === 'run') {
			start(target, work);
		} else if (decision === 'refuse') {
			work.onEnd('refused');
		}
	};

	/** Sends the work to targets as an entry node does, with retries within its budget. */
	const forward = (entry: Entry, targets: Target[], work: Work) => {
		const {kind, servicesBelow, onEnd} = work;
		const service = serviceNames[servicesBelow + 1]!;
		entry.budget.countRequest(service, clock.now());
		if (servicesBelow < 0) {
			options.arrivals?.requests.push(clock.now());
		}

		const newWork = {
			route: routeOf(work),
			service,
			priority: kind.priority,
			workspace: undefined,
		};
		const share =
			servicesBelow < 0 || kind.calls === 0
				? leafRetryShare
				: nonLeafRetryShare;
		const mayRetry = (outcome: Outcome) =>
			outcome === 'declined' ||
			(outcome === 'failed' &&
				kind.isIdempotent === true &&
				!entry.pressure.isShedding(newWork));
		let arrivals = 0;
		let refusals = 0;
		const attempt = (isRepeat: boolean, repeatShare: number) => {
			offer(targets, {
				...work,
				isRepeat,
				repeatShare,
				repeats: 0,
				onEnd(outcome) {
					if (outcome === 'refused') {
						refusals++;
						if (arrivals > 0 && refusals < maxRefusals) {
							attempt(true, 1);
						} else {
							onEnd(arrivals > 0 ? 'failed' : 'refused');
						}

						return;
					}

					arrivals++;
					if (
						arrivals < attempts &&
						mayRetry(outcome) &&
						entry.budget.take(service, clock.now(), entries.length, share)
					) {
						attempt(true, 1);
					} else {
						onEnd(outcome);
					}
				},
			});
		};

		attempt(work.isRepeat, work.repeatShare);
	};

	const start = (target: Target, work: Work) => {
		const route = routeOf(work);
		if (target.offers.mayStart({...work, route}, clock.now())) {
			work.run(target, work);
		} else {
			target.admission.finish(undefined, route);
			work.onEnd('refused');
		}
	};

	const free = (target: Target, work: Work, duration: number | undefined) => {
		target.offers.recordFreed({...work, route: routeOf(work)}, work.repeats);
		target.admission.finish(duration, routeOf(work));
		for (
			let next = target.admission.next(clock.now());
			next;
			next = target.admission.next(clock.now())
		) {
			start(target, next);
		}
	};

	const runDeep = (target: Target, work: Work) => {
		if (work.repeats === 0) {
			target.offers.recordStart({...work, route: routeOf(work)}, clock.now());
		}

		if (work.isRepeat || work.repeats > 0) {
			options.arrivals?.repeats.push(clock.now());
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
				work.onEnd('failed');
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
				target.offers.take(
					{request: {...work, route: routeOf(work)}, repeats: work.repeats},
					now,
				)
			) {
				work.repeats++;
				runDeep(target, work);
				return;
			}

			target.offers.recordEnd(work, outcome, now);
			free(target, work, isDeclined ? undefined : duration);
			work.onEnd(isDeclined ? 'declined' : 'served');
		});
	};

	const runUpper = (target: Target, work: Work) => {
		const startedAt = clock.now();
		const {kind, servicesBelow} = work;
		const route = routeOf(work);
		target.offers.recordStart({...work, route}, startedAt);
		target.profile.recordRun(route);
		let left = servicesBelow > 0 ? 1 : kind.calls;
		const end = (isServed: boolean) => {
			free(target, work, clock.now() - startedAt);
			work.onEnd(isServed ? 'served' : 'failed');
		};

		const callNext = () => {
			if (left === 0 || clock.now() - startedAt > requestTimeout) {
				end(left === 0);
				return;
			}

			left--;
			const below = servicesBelow - 1;
			const called = routeOf({kind, isInner: true, servicesBelow: below});
			target.profile.recordCall(called);
			forward(entries[target.index % entries.length]!, targetsOf(below), {
				kind,
				isInner: true,
				servicesBelow: below,
				repeatShare: target.offers.recordCall(called),
				isRepeat: work.isRepeat,
				repeats: 0,
				run: below < 0 ? runDeep : runUpper,
				onEnd(outcome) {
					if (outcome === 'served') {
						callNext();
					} else {
						end(false);
					}
				},
			});
		};

		clock.setTimer(runTime, callNext);
	};

	const targetsOf = (servicesBelow: number): Target[] =>
		servicesBelow < 0 ? deep : upper[servicesBelow]!;

	const receive = (kind: FleetKind) => {
		const counts = countsOf(windows, clock.now(), kind.route);
		counts.requested++;
		const entry = draw(entries, random);
		const servicesBelow =
			kind.first === 'deep' ? -1 : (kind.servicesAbove ?? 0);
		const work = {
			route: kind.route,
			service: serviceNames[servicesBelow + 1]!,
			priority: kind.priority,
			workspace: undefined,
		};
		entry.pressure.recordRequest(work);
		if (random.fraction() < entry.pressure.shareRefused(work)) {
			if (servicesBelow < 0) {
				options.arrivals?.requests.push(clock.now());
			}

			return;
		}

		forward(entry, targetsOf(servicesBelow), {
			kind,
			isInner: false,
			servicesBelow,
			repeatShare: 0,
			isRepeat: false,
			repeats: 0,
			run: servicesBelow < 0 ? runDeep : runUpper,
			onEnd(outcome) {
				counts.whole += outcome === 'served' ? 1 : 0;
				// A declined direct request is a refusal: it has not run.
				counts.failed += outcome === 'served' || kind.first === 'deep' ? 0 : 1;
			},
		});
	};

	for (const kind of kinds) {
		const arrive = () => {
			receive(kind);
			clock.setTimer(
				(-Math.log(1 - random.fraction()) * millisecondsPerSecond) /
					(kind.perSecond * loadAt(clock.now())),
				arrive,
			);
		};

		clock.setTimer(random.fraction() * 10, arrive);
	}

	const update = () => {
		const now = clock.now();
		const loads = [
			...deep.map((target) => updateTarget(target, isUp(target), now)),
			...upper.flatMap((targets, above) =>
				targets.map((target) => updateTarget(target, true, now, above)),
			),
		];
		clock.setTimer(options.reportDelay, () => {
			reported = loads;
		});
		clock.setTimer(shedPeriod, update);
	};

	const learn = () => {
		for (const {profile} of upper.flat()) {
			profile.update();
		}

		clock.setTimer(profilePeriod, learn);
	};

	clock.setTimer(profilePeriod, learn);
	clock.setTimer(shedPeriod, update);
	clock.advanceTo(options.duration);
	return windows.slice(0, options.duration / windowLength);
}

function createTargets(
	count: number,
	slots: number,
	{policy, allowance = 48}: DecliningFleetOptions,
	isDeep: boolean,
): Target[] {
	return Array.from({length: count}, (_, index) => {
		const profile = createCallProfile();
		const level = createTargetShedLevel(policy);
		return {
			index,
			isDeep,
			admission: createTargetAdmission<Work>(
				slots,
				undefined,
				level.renewBulkhead(),
			),
			profile,
			offers: createRepeatedOffers({
				policy,
				profile,
				budget: {ratio: 0.2, allowance, window: 10_000},
			}),
			level,
		};
	});
}

/** Creates an entry node that knows the call graph. */
function createEntry(
	clock: VirtualClock,
	{kinds, policy, allowance = 48, seed}: DecliningFleetOptions,
	reported: () => LinkedTarget[],
): Entry {
	const graph = createCallGraph();
	const call = {route: 'call', runTime, calls: [], isLeaf: true};
	for (const [index, service] of serviceNames.entries()) {
		const servicesBelow = index - 1;
		const passing = kinds.filter(
			({first, servicesAbove = 0}) =>
				first === 'middle' && servicesBelow <= servicesAbove,
		);
		const routes =
			servicesBelow < 0 ? kinds.filter(({first}) => first === 'deep') : passing;
		graph.setProfiles(service, service, [
			...(servicesBelow < 0 ? [call] : []),
			...routes.map((kind) => profileOf(kind, servicesBelow)),
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
	return {
		pressure,
		budget: createRetryBudget(
			{ratio: 0.2, allowance, window: 10_000},
			createRandom(seed),
		),
	};
}

/** The name of the route on which a request of the kind comes to a service. */
function routeOf({
	kind,
	isInner,
	servicesBelow,
}: Pick<Work, 'kind' | 'isInner' | 'servicesBelow'>): string {
	if (!isInner) {
		return kind.route;
	}

	return servicesBelow < 0 ? 'call' : `${kind.route} ${servicesBelow}`;
}

function profileOf(kind: FleetKind, servicesBelow: number) {
	const isInner = servicesBelow < (kind.servicesAbove ?? 0);
	const count = servicesBelow > 0 ? 1 : kind.calls;
	const called = routeOf({
		kind,
		isInner: true,
		servicesBelow: servicesBelow - 1,
	});
	return {
		route: routeOf({
			kind,
			isInner: isInner && kind.first !== 'deep',
			servicesBelow,
		}),
		runTime: (1 + kind.calls) * runTime,
		calls: count > 0 ? [{route: called, count}] : [],
		isLeaf: count === 0,
	};
}

/** The mean level of each service, as the directory calculates it. */
function meanLevels(reported: LinkedTarget[]): Map<string, number> {
	return new Map(
		serviceNames.map((service) => [
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
	{index, admission, offers, level}: Target,
	isUsable: boolean,
	now: number,
	above = -1,
): LinkedTarget {
	for (const work of admission.expire(now)) {
		work.onEnd('refused');
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
		node: `${serviceNames[above + 1]} ${index}`,
		service: serviceNames[above + 1]!,
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
