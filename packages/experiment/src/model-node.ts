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
import {endRefused, type Attempt, type CallEnd} from './call.js';
import {connectionCost, type ServiceRole} from './deployment.js';
import {createExecution} from './execution.js';
import {createFakeTarget} from './fake-target.js';
import type {World} from './world.js';

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
	below: DownstreamLevels;
	/** The nodes to which a connection is open. */
	contacts: Set<ModelNode>;
	receive(attempt: Attempt, timeLeft: number, reply: Reply): void;
	/** The caller gave the attempt up. */
	cancel(attempt: Attempt): void;
	/** How many requests its target has run. */
	completed(): number;
	/** The report of a second ago. */
	lateReport(): LoadReport;
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
	| 'below'
> & {admission: AdmissionPolicy};

/** An attempt at this node, waiting or running. */
type Present = {
	attempt: Attempt;
	facts: CallFacts;
	reply: Reply;
	/** Ends the execution; set once handed over. */
	stop?: () => void;
};

/** Milliseconds between the reports that are kept as late ones. */
const reportAge = 1000;

/** Creates a node of the run. */
export function createModelNode(
	world: World,
	options: ModelNodeOptions,
): ModelNode {
	const {clock, tally} = world;
	const {role, admission} = options;
	const {slots, connections} = world.deployment.services[role];
	const target = createFakeTarget(slots, connections);
	const present = new Map<string, Present>();
	let alarm: {at: number; timer: Timer} | undefined;
	let late = admission.report(clock.now());
	let current = {at: clock.now(), report: late};

	const respond = (entry: Present, end: CallEnd) => {
		present.delete(entry.facts.id);
		const report = admission.report(clock.now(), entry.facts.operation);
		if (clock.now() - current.at >= reportAge) {
			late = current.report;
			current = {at: clock.now(), report};
		}

		entry.reply(end, report);
	};

	const handOver = (entry: Present) => {
		const begin = clock.now();
		const end = (result: Completion['result'], callEnd?: CallEnd) => {
			const duration = clock.now() - begin;
			admission.finish(entry.facts.id, {duration, result}, clock.now());
			if (callEnd) {
				respond(entry, callEnd);
			} else {
				present.delete(entry.facts.id);
			}

			pump();
		};

		const execution = createExecution(world, entry.attempt, {
			node,
			facts: entry.facts,
			release(job) {
				target.release(job);
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

	const decide = (entry: Present, decision: AdmissionDecision) => {
		if (decision.kind === 'dispatch') {
			handOver(entry);
		} else if (decision.kind === 'refuse') {
			respond(entry, endRefused(decision));
		}
	};

	const pump = () => {
		for (const turn of admission.processQueue(clock.now())) {
			const entry = present.get(turn.id);
			if (entry) {
				decide(entry, turn);
			}
		}

		schedule();
	};

	const schedule = () => {
		const at = admission.wakeAt();
		if (at === alarm?.at) {
			return;
		}

		alarm?.timer.cancel();
		alarm =
			at === undefined
				? undefined
				: {
						at,
						timer: clock.setTimer(at - clock.now(), () => {
							alarm = undefined;
							pump();
						}),
					};
	};

	const node: ModelNode = {
		...options,
		contacts: new Set(),
		receive(attempt, timeLeft, reply) {
			if (role === 'deep') {
				tally.reachedDeepest();
			}

			const facts = {...attempt.facts, deadline: clock.now() + timeLeft};
			const entry: Present = {attempt, facts, reply};
			present.set(facts.id, entry);
			decide(entry, admission.arrive(facts, clock.now()));
			schedule();
		},
		cancel(attempt) {
			const entry = present.get(attempt.facts.id);
			if (!entry) {
				return;
			}

			if (entry.stop) {
				entry.stop();
			} else if (admission.withdraw(attempt.facts.id, clock.now())) {
				present.delete(attempt.facts.id);
			}

			pump();
		},
		completed: target.completed,
		lateReport: () => late,
	};
	return node;
}
