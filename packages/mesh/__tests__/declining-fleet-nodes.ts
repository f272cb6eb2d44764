/** The entry nodes and the targets of the simulated fleet, with the decisions of the mesh. */
import {createRandom, type VirtualClock} from '@egretspoke/shared';
import {
	createCallProfile,
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
	type RetryBudget,
} from '../src/decisions/repeats/retry-budget.js';
import {
	createRoutePressure,
	pressureRefreshInterval,
	type RoutePressure,
} from '../src/entry/route-pressure.js';
import {createServiceStates} from '../src/entry/service-states.js';
import {idleLoad} from '../src/links/exchange.js';
import type {LinkedTarget} from '../src/links/peer.js';
import {
	createRepeatedOffers,
	type RepeatedOffers,
} from '../src/target/repeated-offers.js';
import {
	createTargetShedLevel,
	type TargetShedLevel,
} from '../src/target/target-shed-level.js';
import type {DecliningFleetOptions, FleetKind} from './declining-fleet.js';

/** Milliseconds of a run without its calls. */
export const runTime = 20;
/** The services, the deepest first. */
export const serviceNames = ['deep', 'middle', 'upper', 'front'];

export type Outcome = 'served' | 'declined' | 'failed' | 'refused';

export type Work = {
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
export type Entry = {pressure: RoutePressure; budget: RetryBudget};

export type Target = {
	index: number;
	isDeep: boolean;
	admission: TargetAdmission<Work>;
	offers: RepeatedOffers;
	profile: CallProfile;
	level: TargetShedLevel;
};

export function createTargets(
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
export function createEntry(
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
export function routeOf({
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

export function updateTarget(
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

export function loadOf({admission}: Target): number {
	return (admission.running() + admission.waiting()) / admission.limit();
}
