/**
 * The entry node's side of the path: choose a target, send, wait for the
 * answer or the deadline, ask whether to try again. Naive or ours, every call
 * of every layer goes through here.
 */
import {ErrorCode, type LoadReport} from '@egretspoke/protocol';
import type {AttemptResult, CallFacts} from '@egretspoke/decisions';
import {endRefused, type Attempt, type Call, type CallEnd} from './call.js';
import type {ModelNode} from './model-node.js';
import {delayBetween, type World} from './world.js';

/** Takes a call in at a node; the returned function tells that its caller has gone. */
export function enter(
	world: World,
	node: ModelNode,
	call: Call,
	done: (end: CallEnd) => void,
): () => void {
	const {clock, contender} = world;
	let tries = 0;
	let over = false;
	let mayHaveRun = false;
	let excluded: string[] = [];
	let abandon: (() => void) | undefined;

	const finish = (end: CallEnd) => {
		over = true;
		done(end.kind === 'notRun' && mayHaveRun ? {...end, kind: 'unknown'} : end);
	};

	const tryOnce = () => {
		if (over) {
			return;
		}

		const facts = describe(world, call, tries++);
		const decision = node.routing.choose(facts, excluded, clock.now());
		if (decision.kind === 'refuse') {
			finish(endRefused(decision));
			return;
		}

		const attempt: Attempt = {
			call,
			facts,
			node: decision.node,
			hasRun: false,
			saidNotRun: false,
		};
		abandon = send(world, node, attempt, (end, result) => {
			settle(facts, end, result);
		});
	};

	const settle = (facts: CallFacts, end: CallEnd, result: AttemptResult) => {
		abandon = undefined;
		if (end.kind === 'answered') {
			finish(end);
			return;
		}

		mayHaveRun ||= end.kind === 'unknown';
		const mayRepeat =
			end.kind === 'notRun' || facts.idempotent || contender.repeatsUnknown;
		if (!mayRepeat || call.deadline <= clock.now()) {
			finish(end);
			return;
		}

		const decision = node.routing.retry(facts, result, clock.now());
		if (decision.kind === 'refuse') {
			finish({...end, code: decision.code, retryAfter: decision.retryAfter});
			return;
		}

		excluded = [...excluded, ...decision.exclude];
		if (decision.delay > 0) {
			clock.setTimer(decision.delay, tryOnce);
		} else {
			tryOnce();
		}
	};

	tryOnce();
	return () => {
		if (contender.cancels) {
			over = true;
			abandon?.();
		}
	};
}

function describe(world: World, call: Call, tries: number): CallFacts {
	const {operation, caller} = call.request;
	const facts: CallFacts = {
		chain: call.chain,
		id: world.nextId(),
		service: call.service,
		requestClass: operation.requestClass,
		caller,
		operation: call.plan.operation,
		deadline: world.contender.attemptDeadline(
			call.deadline,
			world.clock.now(),
			operation.tryTimeout,
		),
		attempts: call.attempts - tries,
		idempotent: operation.idempotent,
	};
	if (call.priority !== undefined) {
		facts.priority = call.priority;
	}

	return facts;
}

/** Sends one attempt; the returned function gives it up because the caller has gone. */
function send(
	world: World,
	from: ModelNode,
	attempt: Attempt,
	done: (end: CallEnd, result: AttemptResult) => void,
): () => void {
	const {clock, contender, tally} = world;
	const {facts, node} = attempt;
	const to = world.nodesByName.get(node)!;
	const begin = clock.now();
	let open = true;

	const close = (
		result: AttemptResult['result'],
		end?: CallEnd,
		load?: LoadReport,
	) => {
		open = false;
		timer.cancel();
		const attemptResult: AttemptResult = {
			node,
			duration: clock.now() - begin,
			result,
		};
		if (load) {
			attemptResult.load = load;
		}

		if (end && end.kind !== 'answered') {
			attemptResult.code = end.code;
			attemptResult.retryAfter = end.retryAfter;
		}

		from.routing.finished(facts, attemptResult, clock.now());
		return attemptResult;
	};

	const withdraw = () => {
		if (contender.cancels) {
			clock.setTimer(delayBetween(world, from, to), () => {
				to.cancel(attempt);
			});
		}
	};

	const answer = (end: CallEnd, report: LoadReport) => {
		clock.setTimer(delayBetween(world, to, from), () => {
			const seen = distort(world, to, report);
			from.routing.observe(facts.service, node, seen, clock.now());
			if (!open) {
				return;
			}

			if (end.kind === 'notRun') {
				tally.saidNotRun(attempt);
			}

			const result = close(resultOf(end), end, seen);
			tally.attemptEnded(attempt, to.index, result);
			done(end, result);
		});
	};

	from.routing.started(facts, node, begin);
	const timer = world.deadlines.set(facts.deadline, () => {
		const end: CallEnd = {
			kind: 'unknown',
			code: ErrorCode.DeadlineWhileRunning,
			retryAfter: 0,
		};
		const result = close('unknown', end);
		tally.attemptEnded(attempt, to.index, result);
		withdraw();
		done(end, result);
	});
	clock.setTimer(delayBetween(world, from, to), () => {
		to.receive(attempt, facts.deadline - begin, answer);
	});
	return () => {
		if (open) {
			close('cancelled');
			withdraw();
		}
	};
}

function resultOf(end: CallEnd): AttemptResult['result'] {
	return end.kind === 'answered' ? 'ok' : end.kind;
}

/** Of so many reports, one is about a second old, or simply wrong. */
const lateShare = 0.05;
const wrongShare = 0.01;

/** Some reports are late, and some claim an idle or a hopeless target. */
function distort(world: World, to: ModelNode, report: LoadReport): LoadReport {
	const draw = world.reportRandom.fraction();
	if (draw < wrongShare / 2) {
		return {...report, inFlight: 0, waiting: 0, queueDelay: 0, level: 383};
	}

	if (draw < wrongShare) {
		return {...report, waiting: 10 * report.limit, queueDelay: 5000, level: -1};
	}

	return draw < wrongShare + lateShare ? to.lateReport() : report;
}
