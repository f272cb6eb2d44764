/**
 * Execution of one request at a simulated target: work, parallel downstream
 * calls, more work, the answer. A request takes effect when the work of a leaf
 * begins or when the work after the downstream calls begins. If a downstream
 * call is refused, the target certifies that it did not run the request,
 * provided that nothing has taken effect and no other downstream call is
 * pending; otherwise it answers with an error.
 */
import {ErrorCode} from '@egretspoke/protocol';
import {
	chainPriority,
	type CallFacts,
	type Completion,
} from '@egretspoke/decisions';
import type {Timer} from '@egretspoke/shared';
import type {Attempt, Call, CallEnd} from './call.js';
import type {CallPlan} from './deployment.js';
import {routeCall} from './entry.js';
import type {TargetRequest} from './fake-target.js';
import type {ModelNode} from './model-node.js';
import {drawWork, slowdownAt, type Simulation} from './simulation.js';

/** The execution of one request at its target. */
export type Execution = TargetRequest & {
	/** Stops the work, releases the slot and cancels the downstream calls when the caller has gone. */
	cancel(): void;
};

/** The node that runs an execution. */
export type ExecutionHost = {
	node: ModelNode;
	/** The facts of the call at this node. */
	facts: CallFacts;
	release(targetRequest: TargetRequest): void;
	/** Called at the end, with the end of the call for the caller; without one after a cancellation. */
	end(result: Completion['result'], callEnd?: CallEnd): void;
};

/** A pending downstream call. */
type PendingCall = {cancel?: () => void};

/** Creates an execution that waits for its slot. */
export function createExecution(
	simulation: Simulation,
	attempt: Attempt,
	host: ExecutionHost,
): Execution {
	const {clock, variant, tally} = simulation;
	const {node, facts} = host;
	const {plan, request} = attempt.call;
	const pendingCalls = new Set<PendingCall>();
	let currentWork: {since: number; timer: Timer} | undefined;
	let isOver = false;

	const stopWork = () => {
		if (currentWork) {
			currentWork.timer.cancel();
			tally.recordWork(request, clock.now() - currentWork.since);
			currentWork = undefined;
		}
	};

	const finish = (result: Completion['result'], end?: CallEnd) => {
		isOver = true;
		stopWork();
		for (const {cancel} of pendingCalls) {
			cancel?.();
		}

		host.release(execution);
		host.end(result, end);
	};

	const runWork = (mean: number, next: () => void) => {
		const duration =
			drawWork(simulation.workRandom, mean) * slowdownAt(simulation, node);
		const timer = clock.setTimer(duration, () => {
			stopWork();
			next();
		});
		currentWork = {since: clock.now(), timer};
	};

	const succeed = () => {
		finish('ok', {kind: 'answered'});
	};

	const fail = (end: Exclude<CallEnd, {kind: 'answered'}>) => {
		const {retryAfter} = end;
		if (end.kind === 'notRun' && pendingCalls.size === 0 && !attempt.hasRun) {
			finish('shed', {kind: 'notRun', code: ErrorCode.TargetShed, retryAfter});
		} else {
			finish('failed', {
				kind: 'unknown',
				code: ErrorCode.AnswerLost,
				retryAfter,
			});
		}
	};

	const callDownstream = (downstreamPlan: CallPlan, answered: () => void) => {
		const pending: PendingCall = {};
		pendingCalls.add(pending);
		const call = createDownstreamCall(simulation, attempt, {
			node,
			facts,
			plan: downstreamPlan,
		});
		pending.cancel = routeCall(simulation, node, call, (end) => {
			pendingCalls.delete(pending);
			if (isOver) {
				return;
			}

			if (end.kind === 'answered') {
				answered();
			} else {
				fail(end);
			}
		});
	};

	const startDownstreamCalls = () => {
		let remaining = plan.downstreamCalls.length;
		const answered = () => {
			if (--remaining === 0) {
				tally.recordEffect(attempt);
				runWork(plan.after, succeed);
			}
		};

		for (const downstreamPlan of plan.downstreamCalls) {
			callDownstream(downstreamPlan, answered);
			if (isOver) {
				return;
			}
		}
	};

	const execution: Execution = {
		start() {
			if (plan.downstreamCalls.length === 0) {
				tally.recordEffect(attempt);
				runWork(plan.before, succeed);
			} else {
				runWork(plan.before, startDownstreamCalls);
			}
		},
		cancel() {
			if (!isOver && variant.cancelsDownstream) {
				finish('cancelled');
			}
		},
	};
	return execution;
}

function createDownstreamCall(
	simulation: Simulation,
	parent: Attempt,
	at: {node: ModelNode; facts: CallFacts; plan: CallPlan},
): Call {
	const {node, facts, plan} = at;
	const {chain} = parent.call;
	const call: Call = {
		chain,
		request: parent.call.request,
		plan,
		service: simulation.deployment.services[plan.role].name,
		deadline: simulation.variant.callDeadline(facts.deadline),
		attempts: node.routing.downstreamAttempts(facts),
		parent,
	};
	const priority = chainPriority(node.downstreamLevels, chain);
	if (priority !== undefined) {
		call.priority = priority;
	}

	return call;
}
