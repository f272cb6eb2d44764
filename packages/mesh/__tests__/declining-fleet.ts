/**
 * Simulates requests that run at a middle service and make sequential calls to
 * a deep one, on a virtual clock. The decisions of entry nodes and of target
 * nodes are those of the mesh; reports arrive late.
 */
import {
	createRandom,
	createVirtualClock,
	type Random,
} from '@egretspoke/shared';
import {profilePeriod} from '../src/decisions/admission/call-profile.js';
import {shedPeriod} from '../src/decisions/admission/shed-level.js';
import type {MeshPolicy} from '../src/decisions/mesh-policy.js';
import {
	leafRetryShare,
	nonLeafRetryShare,
} from '../src/decisions/repeats/retry-budget.js';
import type {LinkedTarget} from '../src/links/peer.js';
import {maxRepeats} from '../src/target/target-dispatcher.js';
import {
	createEntry,
	createTargets,
	loadOf,
	routeOf,
	runTime,
	serviceNames,
	updateTarget,
	type Entry,
	type Outcome,
	type Target,
	type Work,
} from './declining-fleet-nodes.js';

export {runTime} from './declining-fleet-nodes.js';

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
const requestTimeout = 4000;
const maxWait = 250;
const middleTargets = 4;
/** The refusals of one request after which it is rejected. */
const maxRefusals = 3;
/** Limits the time for which work stays at a target that is lost. */
const minSpeed = 0.1;
/** Milliseconds in which a target declines an offer. */
const declineTime = 1;
const millisecondsPerSecond = 1000;

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
