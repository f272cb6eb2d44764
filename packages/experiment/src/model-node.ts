/**
 * A simulated node and its local target: admission, the slots of the target, and
 * the target's downstream calls, for which this node is the entry.
 */
import {ErrorCode, type LoadReport} from '@egretspoke/protocol';
import type {
	AdmissionDecision,
	AdmissionPolicy,
	CallFacts,
	Completion,
	DownstreamLevels,
	RoutingPolicy,
} from '@egretspoke/decisions';
import type {Timer} from '@egretspoke/shared';
import {createRefusedEnd, type Attempt, type CallEnd} from './call.js';
import {connectionCost, type ServiceRole} from './deployment.js';
import {createExecution} from './execution.js';
import {createFakeTarget} from './fake-target.js';
import type {Simulation} from './simulation.js';

/** Sends the end of an attempt and the current load report to the entry node. */
export type Reply = (end: CallEnd, report: LoadReport) => void;

export type ModelNode = {
	name: string;
	dataCentre: string;
	role: ServiceRole;
	/** Index among the targets of its service. */
	index: number;
	startsCold: boolean;
	/** Start of its target, in milliseconds of the run. */
	since: number;
	routing: RoutingPolicy;
	/** Shed levels of the downstream services, shared by admission and routing. */
	downstreamLevels: DownstreamLevels;
	/** Nodes with an open connection to this one. */
	connectedNodes: Set<ModelNode>;
	receive(attempt: Attempt, timeLeft: number, reply: Reply): void;
	/** Cancels an attempt whose caller gave up. */
	cancel(attempt: Attempt): void;
	/** Number of requests that the target has run. */
	completed(): number;
	/** A load report that is about one second old. */
	staleReport(): LoadReport;
};

/** The properties in which nodes differ. */
export type ModelNodeOptions = Pick<
	ModelNode,
	| 'name'
	| 'dataCentre'
	| 'role'
	| 'index'
	| 'startsCold'
	| 'since'
	| 'routing'
	| 'downstreamLevels'
> & {admission: AdmissionPolicy};

/** An attempt that is waiting or running at this node. */
type PendingAttempt = {
	attempt: Attempt;
	facts: CallFacts;
	reply: Reply;
	/** Stops the execution; set once dispatched. */
	stop?: () => void;
};

/** Minimum interval between stored stale reports, in milliseconds. */
const staleReportAge = 1000;

/** Creates a simulated node. */
export function createModelNode(
	simulation: Simulation,
	options: ModelNodeOptions,
): ModelNode {
	const {clock, tally} = simulation;
	const {role, admission} = options;
	const {slots, connections} = simulation.deployment.services[role];
	const target = createFakeTarget(slots, connections);
	const pendingAttempts = new Map<string, PendingAttempt>();
	let wakeTimer: {at: number; timer: Timer} | undefined;
	let staleReport = admission.report(clock.now());
	let latestReport = {at: clock.now(), report: staleReport};

	const respond = (entry: PendingAttempt, end: CallEnd) => {
		pendingAttempts.delete(entry.facts.id);
		const report = admission.report(clock.now(), entry.facts.operation);
		if (clock.now() - latestReport.at >= staleReportAge) {
			staleReport = latestReport.report;
			latestReport = {at: clock.now(), report};
		}

		entry.reply(end, report);
	};

	const dispatchAttempt = (entry: PendingAttempt) => {
		const begin = clock.now();
		const end = (result: Completion['result'], callEnd?: CallEnd) => {
			const duration = clock.now() - begin;
			admission.finish(entry.facts.id, {duration, result}, clock.now());
			if (callEnd) {
				respond(entry, callEnd);
			} else {
				pendingAttempts.delete(entry.facts.id);
			}

			processQueue();
		};

		const execution = createExecution(simulation, entry.attempt, {
			node,
			facts: entry.facts,
			release(targetRequest) {
				target.release(targetRequest);
			},
			end,
		});
		entry.stop = execution.cancel;
		const offer = () => {
			if (!target.offer(execution)) {
				end('shed', {
					kind: 'notRun',
					code: ErrorCode.TargetUnreachable,
					retryAfter: 0,
				});
			}
		};

		if (target.needsConnection()) {
			const connecting = clock.setTimer(connectionCost, offer);
			entry.stop = () => {
				connecting.cancel();
				execution.cancel();
			};
		} else {
			offer();
		}
	};

	const applyDecision = (
		entry: PendingAttempt,
		decision: AdmissionDecision,
	) => {
		if (decision.kind === 'dispatch') {
			dispatchAttempt(entry);
		} else if (decision.kind === 'refuse') {
			respond(entry, createRefusedEnd(decision));
		}
	};

	const processQueue = () => {
		for (const decision of admission.processQueue(clock.now())) {
			const entry = pendingAttempts.get(decision.id);
			if (entry) {
				applyDecision(entry, decision);
			}
		}

		schedule();
	};

	const schedule = () => {
		const at = admission.wakeAt();
		if (at === wakeTimer?.at) {
			return;
		}

		wakeTimer?.timer.cancel();
		wakeTimer =
			at === undefined
				? undefined
				: {
						at,
						timer: clock.setTimer(at - clock.now(), () => {
							wakeTimer = undefined;
							processQueue();
						}),
					};
	};

	const node: ModelNode = {
		...options,
		connectedNodes: new Set(),
		receive(attempt, timeLeft, reply) {
			if (role === 'deep') {
				tally.recordDeepArrival();
			}

			const facts = {...attempt.facts, deadline: clock.now() + timeLeft};
			const entry: PendingAttempt = {attempt, facts, reply};
			pendingAttempts.set(facts.id, entry);
			applyDecision(entry, admission.arrive(facts, clock.now()));
			schedule();
		},
		cancel(attempt) {
			const entry = pendingAttempts.get(attempt.facts.id);
			if (!entry) {
				return;
			}

			if (entry.stop) {
				entry.stop();
			} else if (admission.withdraw(attempt.facts.id, clock.now())) {
				pendingAttempts.delete(attempt.facts.id);
			}

			processQueue();
		},
		completed: target.completed,
		staleReport: () => staleReport,
	};
	return node;
}
