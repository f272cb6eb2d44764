/**
 * Routing at the entry node. Statistics of targets are updated at the end of
 * an attempt; choosing a target only reads them. This module only combines the
 * others.
 */
import {ErrorCode} from '@egretspoke/protocol';
import {fixedRetryAfterTime} from './admission-options.js';
import {downstreamAttempts, hasAttempts} from './chain-attempts.js';
import {retryAfterTime} from './retry-after-time.js';
import {updateEjection} from './ejection.js';
import {isGroupOverloaded, recordAttempt} from './group-load.js';
import {maxLevel} from './admission-level.js';
import {recordDownstreamLevel} from './downstream-levels.js';
import type {
	AttemptResult,
	CallFacts,
	PolicyContext,
	RefusalDecision,
	RetryDecision,
	RoutingDecision,
	RoutingPolicy,
} from './policy.js';
import {earnRetry, spendRetry} from './retry-budget.js';
import {isLoadRefusal, reactionTo} from './retry-decision.js';
import {
	createRoutingGroup,
	replaceCandidates,
	type RoutingGroup,
} from './routing-group.js';
import {chooseTarget, createChoiceOptions} from './target-choice.js';
import {
	recordEnd,
	recordFailure,
	recordReport,
	recordSlowness,
	recordStart,
} from './target-view.js';
import {drawOne} from './two-choices.js';
import {typicalOf, updateTypical} from './typical-durations.js';
import {
	isRefusedUpstream,
	observedLevel,
	recordLevel,
} from './upstream-refusal.js';

/** Attempts at every layer while `chain-attempts` is switched off. */
const defaultAttempts = 3;
/** Results whose duration counts for the target's speed. */
const isAnswer: Partial<Record<AttemptResult['result'], boolean>> = {ok: true};
/** Results that count as a failure of the target itself. */
const isFault: Partial<Record<AttemptResult['result'], boolean>> = {
	unknown: true,
	unreachable: true,
};

/** Creates the routing of one entry node. */
export function createRouting(context: PolicyContext): RoutingPolicy {
	const {dataCentre, random, without, downstreamLevels} = context;
	const choiceOptions = createChoiceOptions(without);
	const hasUpstreamRefusal = !without?.has('upstream-refusal');
	const hasRetryBudget = !without?.has('retry-budget');
	const hasChainAttempts = !without?.has('chain-attempts');
	const hasRetryAfterTimes = !without?.has('come-back-times');
	const groups = new Map<string, RoutingGroup>();

	const groupOf = (service: string) => {
		let group = groups.get(service);
		if (!group) {
			group = createRoutingGroup();
			groups.set(service, group);
		}

		return group;
	};

	const refuse = (
		group: RoutingGroup,
		code: ErrorCode,
		reason: string,
		reportedRetryAfter?: number,
	): RefusalDecision => {
		if (reportedRetryAfter !== undefined || !hasRetryAfterTimes) {
			const retryAfter = reportedRetryAfter ?? fixedRetryAfterTime;
			return {kind: 'refuse', code, reason, retryAfter};
		}

		// One service time of the whole group, plus a random part that grows by
		// one service time for each tenth of attempts refused.
		const serviceTime = group.averageDuration;
		const retryAfter = retryAfterTime(
			{
				waiting: 0,
				refused: 10 * group.load.refusedShare,
				drainRate: serviceTime > 0 ? 1 / serviceTime : 0,
				serviceTime,
			},
			random,
		);
		return {kind: 'refuse', code, reason, retryAfter};
	};

	const choose = (
		call: CallFacts,
		exclude: string[],
		now: number,
	): RoutingDecision => {
		const group = groupOf(call.service);
		if (hasUpstreamRefusal && isRefusedUpstream(group.levels, call, now)) {
			const level = Math.round(
				observedLevel(group.levels, call.operation, now),
			);
			if (downstreamLevels) {
				recordDownstreamLevel(downstreamLevels, call.chain ?? call.id, {
					service: call.service,
					level,
					now,
				});
			}

			return refuse(
				group,
				ErrorCode.LevelTooLow,
				`above level ${level} of ${call.service}`,
			);
		}

		const choice = chooseTarget(group, choiceOptions, {
			call,
			exclude,
			random,
			now,
		});
		return choice
			? {kind: 'send', node: choice.view.candidate.node, reason: choice.reason}
			: refuse(group, ErrorCode.NoTarget, 'no target is available');
	};

	const learn = (
		group: RoutingGroup,
		call: CallFacts,
		result: AttemptResult,
		now: number,
	) => {
		const view = group.byNode.get(result.node);
		const typical = typicalOf(group.durations, call.operation);
		if (view) {
			recordEnd(view, call.id);
			recordFailure(view, isFault[result.result] === true);
		}

		recordAttempt(group.load, isLoadRefusal(result));
		if (isAnswer[result.result]) {
			updateTypical(group.durations, call.operation, result.duration);
			group.averageDuration += (result.duration - group.averageDuration) / 16;
			earnRetry(group.budget, call.caller);
		}

		if (!view) {
			return;
		}

		const isComplete = isAnswer[result.result] === true;
		const ratio = typical > 0 ? result.duration / typical : 1;
		if (isComplete) {
			recordSlowness(view, ratio, now);
		}

		if (choiceOptions.hasEjection) {
			const other = drawOne(group.views, (each) => each !== view, random);
			updateEjection(group, view, {ratio, isComplete, other}, now);
		}
	};

	return {
		candidatesChanged(service, candidates) {
			replaceCandidates(groupOf(service), candidates, dataCentre);
		},
		choose,
		started(call, node, now) {
			const group = groupOf(call.service);
			const view = group.byNode.get(node);
			if (view) {
				recordStart(
					view,
					call.id,
					typicalOf(group.durations, call.operation),
					now,
				);
			}
		},
		finished(call, result, now) {
			const group = groupOf(call.service);
			learn(group, call, result, now);
			if (result.load) {
				const {level} = result.load;
				recordLevel(group.levels, call.operation, level, now);
				if (downstreamLevels) {
					const chain = call.chain ?? call.id;
					const {service} = call;
					recordDownstreamLevel(downstreamLevels, chain, {service, level, now});
				}
			}
		},
		observe(service, node, report, now) {
			const view = groups.get(service)?.byNode.get(node);
			if (view) {
				recordReport(view, report, now);
			}
		},
		retry(call, result, now): RetryDecision {
			const group = groupOf(call.service);
			const refusal = retryObstacle(group, call, result, now);
			if (refusal) {
				const [code, reason] = refusal;
				return refuse(group, code, reason, result.retryAfter);
			}

			if (hasRetryBudget && !spendRetry(group.budget, call.caller)) {
				return refuse(
					group,
					ErrorCode.RetryBudgetSpent,
					`the retry budget for ${call.service} is spent`,
					result.retryAfter,
				);
			}

			return {
				kind: 'retry',
				delay: 0,
				exclude: [result.node],
				reason: `${result.node} did not run the request`,
			};
		},
		downstreamAttempts: (call) =>
			hasChainAttempts ? downstreamAttempts(call) : defaultAttempts,
	};

	/** The reason why no further attempt is made; undefined when one may be made. */
	function retryObstacle(
		group: RoutingGroup,
		call: CallFacts,
		result: AttemptResult,
		now: number,
	): [ErrorCode, string] | undefined {
		const code = result.code ?? ErrorCode.Overloaded;
		const reaction = reactionTo(result);
		if (reaction === 'never') {
			return [code, 'the request would end the same at another target'];
		}

		if (!hasAttempts(call)) {
			return [code, 'no attempt is left'];
		}

		if (call.deadline <= now) {
			return [ErrorCode.DeadlinePassed, 'the deadline has passed'];
		}

		const level = observedLevel(group.levels, call.operation, now);
		if (
			reaction === 'ifGroupAllows' &&
			(isGroupOverloaded(group.load) || level < maxLevel)
		) {
			return [code, `${call.service} is overloaded as a whole`];
		}

		return undefined;
	}
}
