/**
 * A node with the target beside it: admission, the target's slots, and the
 * target's own calls deeper, for which this node is the entry.
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

/** Sends the end of an attempt back, with the load report of that moment. */
export type Reply = (end: CallEnd, report: LoadReport) => void;

export type ModelNode = {
	name: string;
	dataCentre: string;
	role: ServiceRole;
	/** Its number among the targets of its service. */
	index: number;
	startsCold: boolean;
	/** When it was started, in milliseconds of the run. */
	since: number;
	routing: RoutingPolicy;
	/** What the layers below let in, for admission and routing alike. */
	downstreamLevels: DownstreamLevels;
	/** The nodes to which a connection is open. */
	connectedNodes: Set<ModelNode>;
	receive(attempt: Attempt, timeLeft: number, reply: Reply): void;
	/** The caller gave the attempt up. */
	cancel(attempt: Attempt): void;
	/** How many requests its target has run. */
	completed(): number;
	/** The report of a second ago. */
	staleReport(): LoadReport;
};

/** What tells one node from another. */
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

/** An attempt at this node, waiting or running. */
type PendingAttempt = {
	attempt: Attempt;
	facts: CallFacts;
	reply: Reply;
	/** Ends the execution; set once handed over. */
	stop?: () => void;
};

/** Milliseconds between the reports that are kept as late ones. */
const staleReportAge = 1000;

/** Creates a node of the run. */
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
