/** Reads the state of the services from the linked targets and the local one. */
import type {MeshReadings} from '@egretspoke/observability';
import type {Clock} from '@egretspoke/shared';
import {
	completionLevel,
	type DecliningService,
} from '../decisions/admission/completion-chance.js';
import {createCapacityLevels} from '../decisions/admission/service-capacity.js';
import {findDecliningServices} from '../decisions/admission/service-declines.js';
import type {MeshPolicy} from '../decisions/mesh-policy.js';
import type {LinkedTarget} from '../links/peer.js';
import type {MeshReporter} from '../mesh-reporter.js';
import type {Directory} from '../members/directory.js';
import type {TargetDispatcher} from '../target/target-dispatcher.js';
import {localNode} from './local-candidate.js';
import {createServiceTrouble} from './service-trouble.js';

/** Dependencies of the service states. */
export type ServiceStatesOptions = {
	clock: Clock;
	policy: Pick<MeshPolicy, 'has'>;
	directory: Pick<Directory, 'shedLevels' | 'targets' | 'membersOf'>;
	dispatcher: Pick<TargetDispatcher, 'load' | 'target'>;
	reporter: Pick<MeshReporter, 'notice'>;
};

/** The state of all services as the route pressure reads it. */
export type ServiceStates = {
	/** The shed level of each service, raised for lost targets. */
	levels(): Map<string, number>;
	/** The services that decline calls. */
	declining(): ReadonlyMap<string, DecliningService>;
	/** The mean levels above 0 of services for the requests that make calls there. */
	heldLevels(): ReadonlyMap<string, number>;
	readings(): Pick<
		MeshReadings,
		'completionLevel' | 'lostCapacityLevel' | 'heldLevel'
	>;
};

/** Milliseconds for which the list of targets is used: the route pressure reads all states in a row, at most every 50 ms. */
const listDuration = 10;

/** Creates the states of a node. */
export function createServiceStates({
	clock,
	policy,
	directory,
	dispatcher,
	reporter,
}: ServiceStatesOptions): ServiceStates {
	const capacity = createCapacityLevels();
	const trouble = createServiceTrouble({clock, reporter});
	let targets: LinkedTarget[] = [];
	let listedAt = Number.NEGATIVE_INFINITY;
	const listTargets = (): LinkedTarget[] => {
		const now = clock.now();
		if (now - listedAt >= listDuration) {
			listedAt = now;
			targets = directory.targets();
			for (const own of dispatcher.target()) {
				targets.push({...own, node: localNode});
			}
		}

		return targets;
	};

	return {
		levels() {
			const levels = directory.shedLevels(dispatcher.load());
			if (policy.has('lostCapacity')) {
				const raised = capacity.update(
					listTargets(),
					directory.membersOf,
					clock.now(),
				);
				trouble.record('lostTargets', raised);
				raiseLevels(levels, raised);
			}

			return levels;
		},
		declining() {
			const services = findDecliningServices(
				listTargets().filter(({isUsable}) => isUsable),
			);
			const levels = [...services].map(
				([service, declines]) => [service, completionLevel(declines)] as const,
			);
			trouble.record('declines', new Map(levels));
			return services;
		},
		heldLevels() {
			const levels = meanHeldLevels(listTargets());
			trouble.record('waits', levels);
			return levels;
		},
		readings: () => ({
			completionLevel: trouble.level('declines'),
			lostCapacityLevel: trouble.level('lostTargets'),
			heldLevel: trouble.level('waits'),
		}),
	};
}

function meanHeldLevels(targets: LinkedTarget[]): Map<string, number> {
	const sums = new Map<string, {level: number; slots: number}>();
	for (const {service, slots, heldLevel, isUsable} of targets) {
		const sum = sums.get(service) ?? {level: 0, slots: 0};
		sum.slots += isUsable ? slots : 0;
		sum.level += isUsable ? slots * heldLevel : 0;
		sums.set(service, sum);
	}

	const levels = new Map<string, number>();
	for (const [service, {level, slots}] of sums) {
		if (level > 0) {
			levels.set(service, level / slots);
		}
	}

	return levels;
}

/** Raises each level to the other one of the same service. */
export function raiseLevels(
	levels: Map<string, number>,
	others: ReadonlyMap<string, number>,
): void {
	for (const [service, level] of others) {
		levels.set(service, Math.max(level, levels.get(service) ?? 0));
	}
}
