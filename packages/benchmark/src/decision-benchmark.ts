/**
 * Measures the cost of a decision in nanoseconds: the selection of a target and
 * its bookkeeping for a given number of targets, and the admission of a request
 * at a saturated target. Each figure is the median over batches, which excludes
 * garbage collection pauses.
 */
import {performance} from 'node:perf_hooks';
import {createRandom} from '@egretspoke/shared';
import {
	egretspokePolicy,
	type AdmissionPolicy,
	type CallFacts,
	type RoutingCandidate,
	type RoutingDecision,
	type RoutingPolicy,
} from '@egretspoke/decisions';
import {computeMedianCost} from './median.js';

/** Median cost of each decision in nanoseconds. */
export type DecisionCosts = {
	choose: number;
	/** `started`, `observe` and `finished` together. */
	learn: number;
	/** `arrive`, for any decision. */
	arrive: number;
	/** `finish` and `processQueue` together, for each finished request. */
	finish: number;
};

const batches = 4000;
const warmUpBatches = 1000;
/** Requests a batch, which is also its duration in milliseconds of virtual time. */
const batchSize = 20;
/** Requests that finish a batch: the slots handle half of the arrivals. */
const endedPerBatch = 10;
const dataCentres = ['one', 'two', 'three'];
const classes = ['essential', 'normal', 'deferrable'] as const;
const slots = 30;
const load = {
	inFlight: 20,
	limit: slots,
	waiting: 2,
	queueDelay: 5,
	level: 383,
	serviceTime: 60,
};

/** Measures with a number of targets of one service. */
export function measureDecisions(targets: number): DecisionCosts {
	return {...measureRouting(targets), ...measureAdmission()};
}

function measureRouting(
	targets: number,
): Pick<DecisionCosts, 'choose' | 'learn'> {
	const random = createRandom(targets);
	const routing = egretspokePolicy.createRouting({dataCentre: 'one', random});
	const candidates = Array.from({length: targets}, (_, index) =>
		createCandidate(index),
	);
	routing.candidatesChanged('loft-queues', candidates, 0);
	const choose: number[] = [];
	const learn: number[] = [];
	for (let batch = 0; batch < warmUpBatches + batches; batch++) {
		const now = batch * batchSize;
		const calls = createCalls(batch);
		const begin = performance.now();
		const decisions = calls.map((call) => routing.choose(call, [], now));
		const chosen = performance.now();
		learnFrom(routing, calls, decisions, now);
		learn.push(performance.now() - chosen);
		choose.push(chosen - begin);
	}

	return {
		choose: computeMedianCost(choose.slice(warmUpBatches), batchSize),
		learn: computeMedianCost(learn.slice(warmUpBatches), batchSize),
	};
}

function learnFrom(
	routing: RoutingPolicy,
	calls: CallFacts[],
	decisions: RoutingDecision[],
	now: number,
): void {
	for (const [index, decision] of decisions.entries()) {
		const call = calls[index]!;
		if (decision.kind === 'send') {
			const {node} = decision;
			routing.started(call, node, now);
			routing.observe(call.service, node, load, now);
			const result = {node, duration: 90, result: 'ok' as const, load};
			routing.finished(call, result, now + 90);
		}
	}
}

function measureAdmission(): Pick<DecisionCosts, 'arrive' | 'finish'> {
	const admission = egretspokePolicy.createAdmission({
		dataCentre: 'one',
		random: createRandom(1),
		service: 'loft-queues',
		slots,
	});
	const arrive: number[] = [];
	const finish: number[] = [];
	const running: string[] = [];
	for (let batch = 0; batch < warmUpBatches + batches; batch++) {
		const now = batch * batchSize;
		const calls = createCalls(batch);
		const begin = performance.now();
		const decisions = calls.map((call) => admission.arrive(call, now));
		arrive.push(performance.now() - begin);
		for (const [index, {kind}] of decisions.entries()) {
			if (kind === 'dispatch') {
				running.push(calls[index]!.id);
			}
		}

		const ended = running.splice(0, endedPerBatch);
		const ending = performance.now();
		const startedIds = finishAll(admission, ended, now + batchSize / 2);
		if (ended.length === endedPerBatch) {
			finish.push(performance.now() - ending);
		}

		running.push(...startedIds);
	}

	return {
		arrive: computeMedianCost(arrive.slice(warmUpBatches), batchSize),
		finish: computeMedianCost(finish.slice(warmUpBatches), endedPerBatch),
	};
}

/** Finishes the requests; returns the ids of those dispatched from the queue. */
function finishAll(
	admission: AdmissionPolicy,
	ended: string[],
	now: number,
): string[] {
	const startedIds: string[] = [];
	for (const id of ended) {
		admission.finish(id, {duration: 60, result: 'ok'}, now);
		for (const decision of admission.processQueue(now)) {
			if (decision.kind === 'dispatch') {
				startedIds.push(decision.id);
			}
		}
	}

	return startedIds;
}

function createCalls(batch: number): CallFacts[] {
	return Array.from({length: batchSize}, (_, index) => {
		const number = batch * batchSize + index;
		return {
			id: `request-${number}`,
			service: 'loft-queues',
			requestClass: classes[number % classes.length]!,
			caller: `caller-${number % 40}`,
			operation: `GET /queues/${number % 5}`,
			deadline: batch * batchSize + 1000,
			attempts: 3,
			idempotent: true,
		};
	});
}

function createCandidate(index: number): RoutingCandidate {
	return {
		node: `node-${index}`,
		dataCentre: dataCentres[index % dataCentres.length]!,
		slots,
		connections: 280,
		since: -60_000,
		state: 'active',
	};
}
