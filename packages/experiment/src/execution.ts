/**
 * What an ordinary target does with one request: some work, its calls deeper
 * in parallel, some more work, the answer. It takes effect when a leaf begins
 * or when the work after the deeper calls begins. A target whose deeper call
 * is refused certifies that it did not run the request if nothing has taken
 * effect and no other deeper call is under way; else its answer is an error.
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
import {enter} from './entry.js';
import type {Job} from './fake-target.js';
import type {ModelNode} from './model-node.js';
import {drawWork, slowdownAt, type World} from './world.js';

/** One request at its target. */
export type Execution = Job & {
	/** The caller has gone: stops the work, gives the slot back, cancels below. */
	cancel(): void;
};

/** Where an execution belongs. */
export type ExecutionHost = {
	node: ModelNode;
	/** The call as this node knows it. */
	facts: CallFacts;
	release(job: Job): void;
	/** The end, with what the caller is told; nothing after a cancellation. */
	end(result: Completion['result'], callEnd?: CallEnd): void;
};

/** A deeper call under way. */
type PendingCall = {cancel?: () => void};

/** Creates an execution that waits for its slot. */
export function createExecution(
	world: World,
	attempt: Attempt,
	host: ExecutionHost,
): Execution {
	const {clock, contender, tally} = world;
	const {node, facts} = host;
	const {plan, request} = attempt.call;
	const below = new Set<PendingCall>();
	let working: {since: number; timer: Timer} | undefined;
	let over = false;

	const stopWork = () => {
		if (working) {
			working.timer.cancel();
			tally.worked(request, clock.now() - working.since);
			working = undefined;
		}
	};

	const finish = (result: Completion['result'], end?: CallEnd) => {
		over = true;
		stopWork();
		for (const {cancel} of below) {
			cancel?.();
		}

		host.release(execution);
		host.end(result, end);
	};

	const work = (mean: number, next: () => void) => {
		const duration = drawWork(world.workRandom, mean) * slowdownAt(world, node);
		const timer = clock.setTimer(duration, () => {
			stopWork();
			next();
		});
		working = {since: clock.now(), timer};
	};

	const succeed = () => {
		finish('ok', {kind: 'answered'});
	};

	const fail = (end: Exclude<CallEnd, {kind: 'answered'}>) => {
		const {retryAfter} = end;
		if (end.kind === 'notRun' && below.size === 0 && !attempt.hasRun) {
			finish('shed', {kind: 'notRun', code: ErrorCode.TargetShed, retryAfter});
		} else {
			finish('failed', {
				kind: 'unknown',
				code: ErrorCode.AnswerLost,
				retryAfter,
			});
		}
	};

	const callOneBelow = (belowPlan: CallPlan, answered: () => void) => {
		const pending: PendingCall = {};
		below.add(pending);
		const call = createCallBelow(world, attempt, {
			node,
			facts,
			plan: belowPlan,
		});
		pending.cancel = enter(world, node, call, (end) => {
			below.delete(pending);
			if (over) {
				return;
			}

			if (end.kind === 'answered') {
				answered();
			} else {
				fail(end);
			}
		});
	};

	const callBelow = () => {
		let open = plan.below.length;
		const answered = () => {
			if (--open === 0) {
				tally.tookEffect(attempt);
				work(plan.after, succeed);
			}
		};

		for (const belowPlan of plan.below) {
			callOneBelow(belowPlan, answered);
			if (over) {
				return;
			}
		}
	};

	const execution: Execution = {
		start() {
			if (plan.below.length === 0) {
				tally.tookEffect(attempt);
				work(plan.before, succeed);
			} else {
				work(plan.before, callBelow);
			}
		},
		cancel() {
			if (!over && contender.cancels) {
				finish('cancelled');
			}
		},
	};
	return execution;
}

function createCallBelow(
	world: World,
	parent: Attempt,
	at: {node: ModelNode; facts: CallFacts; plan: CallPlan},
): Call {
	const {node, facts, plan} = at;
	const {chain} = parent.call;
	const call: Call = {
		chain,
		request: parent.call.request,
		plan,
		service: world.deployment.services[plan.role].name,
		deadline: world.contender.callDeadline(facts.deadline),
		attempts: node.routing.downstreamAttempts(facts),
		parent,
	};
	const priority = chainPriority(node.below, chain);
	if (priority !== undefined) {
		call.priority = priority;
	}

	return call;
}
