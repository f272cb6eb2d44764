/**
 * The entry node's part of the request path: choose a target, send the attempt,
 * wait for the answer or the deadline, and decide on a retry. Calls of all
 * layers and all policy variants use this code.
 */
import {ErrorCode, type LoadReport} from '@egretspoke/protocol';
import type {AttemptResult, CallFacts} from '@egretspoke/decisions';
import {
	createRefusedEnd,
	type Attempt,
	type Call,
	type CallEnd,
} from './call.js';
import type {ModelNode} from './model-node.js';
import {delayBetween, type Simulation} from './simulation.js';

/** Routes a call from its entry node; the returned function reports that the caller has gone. */
export function routeCall(
	simulation: Simulation,
	node: ModelNode,
	call: Call,
	done: (end: CallEnd) => void,
): () => void {
	const {clock, variant} = simulation;
	let tries = 0;
	let isOver = false;
	let mayHaveRun = false;
	let excluded: string[] = [];
	let abandon: (() => void) | undefined;

	const finish = (end: CallEnd) => {
		isOver = true;
		done(end.kind === 'notRun' && mayHaveRun ? {...end, kind: 'unknown'} : end);
	};

	const tryOnce = () => {
		if (isOver) {
			return;
		}

		const facts = createCallFacts(simulation, call, tries++);
		const decision = node.routing.choose(facts, excluded, clock.now());
		if (decision.kind === 'refuse') {
			finish(createRefusedEnd(decision));
			return;
		}

		const attempt: Attempt = {
			call,
			facts,
			node: decision.node,
			hasRun: false,
			reportedNotRun: false,
		};
		abandon = send(simulation, node, attempt, (end, result) => {
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
			end.kind === 'notRun' || facts.idempotent || variant.retriesUnknown;
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
		if (variant.cancelsDownstream) {
			isOver = true;
			abandon?.();
		}
	};
}

function createCallFacts(
	simulation: Simulation,
	call: Call,
	tries: number,
): CallFacts {
	const {operation, caller} = call.request;
	const facts: CallFacts = {
		chain: call.chain,
		id: simulation.nextId(),
		service: call.service,
		requestClass: operation.requestClass,
		caller,
		operation: call.plan.operation,
		deadline: simulation.variant.attemptDeadline(
			call.deadline,
			simulation.clock.now(),
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

/** Sends one attempt; the returned function cancels it when the caller has gone. */
function send(
	simulation: Simulation,
	from: ModelNode,
	attempt: Attempt,
	done: (end: CallEnd, result: AttemptResult) => void,
): () => void {
	const {clock, variant, tally} = simulation;
	const {facts, node} = attempt;
	const to = simulation.nodesByName.get(node)!;
	const begin = clock.now();
	let isOpen = true;

	const close = (
		result: AttemptResult['result'],
		end?: CallEnd,
		load?: LoadReport,
	) => {
		isOpen = false;
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

	const sendCancellation = () => {
		if (variant.cancelsDownstream) {
			clock.setTimer(delayBetween(simulation, from, to), () => {
				to.cancel(attempt);
			});
		}
	};

	const answer = (end: CallEnd, report: LoadReport) => {
		clock.setTimer(delayBetween(simulation, to, from), () => {
			const observedReport = distortReport(simulation, to, report);
			from.routing.observe(facts.service, node, observedReport, clock.now());
			if (!isOpen) {
				return;
			}

			if (end.kind === 'notRun') {
				tally.recordNotRun(attempt);
			}

			const result = close(resultOf(end), end, observedReport);
			tally.recordAttemptEnd(attempt, to.index, result);
			done(end, result);
		});
	};

	from.routing.started(facts, node, begin);
	const timer = simulation.deadlines.set(facts.deadline, () => {
		const end: CallEnd = {
			kind: 'unknown',
			code: ErrorCode.DeadlineWhileRunning,
			retryAfter: 0,
		};
		const result = close('unknown', end);
		tally.recordAttemptEnd(attempt, to.index, result);
		sendCancellation();
		done(end, result);
	});
	clock.setTimer(delayBetween(simulation, from, to), () => {
		to.receive(attempt, facts.deadline - begin, answer);
	});
	return () => {
		if (isOpen) {
			close('cancelled');
			sendCancellation();
		}
	};
}

function resultOf(end: CallEnd): AttemptResult['result'] {
	return end.kind === 'answered' ? 'ok' : end.kind;
}

/** Fractions of load reports that are about one second old, or wrong. */
const staleReportRatio = 0.05;
const wrongReportRatio = 0.01;

/** Replaces some reports by stale ones or by those of an idle or a severely overloaded target. */
function distortReport(
	simulation: Simulation,
	to: ModelNode,
	report: LoadReport,
): LoadReport {
	const draw = simulation.reportRandom.fraction();
	if (draw < wrongReportRatio / 2) {
		return {...report, inFlight: 0, waiting: 0, queueDelay: 0, level: 383};
	}

	if (draw < wrongReportRatio) {
		return {...report, waiting: 10 * report.limit, queueDelay: 5000, level: -1};
	}

	return draw < wrongReportRatio + staleReportRatio ? to.staleReport() : report;
}
