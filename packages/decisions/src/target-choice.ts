/** Chooses a target: applies the routing modules in their order. */
import type {Random} from '@egretspoke/shared';
import {hasConnection} from './connection-limit.js';
import {isDueForProbe, isEjected, isPanic} from './ejection.js';
import {hasRoom} from './locality.js';
import type {CallFacts, Mechanism} from './policy.js';
import type {RoutingGroup} from './routing-group.js';
import {mayStart} from './slow-start.js';
import type {TargetView} from './target-view.js';
import {typicalOf} from './typical-durations.js';
import {
	drawOne,
	drawTwo,
	isBetter,
	rateTarget,
	type Suitability,
} from './two-choices.js';

/** The mechanisms of the choice that are switched on. */
export type ChoiceOptions = {
	hasTwoChoices: boolean;
	hasLocality: boolean;
	hasSlowStart: boolean;
	hasEjection: boolean;
};

/** The request that needs a target. */
export type ChoiceRequest = {
	call: CallFacts;
	/** Nodes that have already refused the request. */
	exclude: string[];
	random: Random;
	now: number;
};

/** A chosen target and the reason. */
export type TargetChoice = {view: TargetView; reason: string};

/** Reads the switched-off mechanisms once. */
export function createChoiceOptions(
	without: ReadonlySet<Mechanism> | undefined,
): ChoiceOptions {
	const isEnabled = (mechanism: Mechanism) => !without?.has(mechanism);
	return {
		hasTwoChoices: isEnabled('two-choices'),
		hasLocality: isEnabled('locality'),
		hasSlowStart: isEnabled('slow-start'),
		hasEjection: isEnabled('ejection'),
	};
}

/** Chooses a target; returns undefined when none is available. */
export function chooseTarget(
	group: RoutingGroup,
	options: ChoiceOptions,
	{call, exclude, random, now}: ChoiceRequest,
): TargetChoice | undefined {
	const isAvailable = (view: TargetView) =>
		hasConnection(view) && !exclude.includes(view.candidate.node);
	const appliesEjections = options.hasEjection && !isPanic(group);
	const mayChoose = (view: TargetView) =>
		isAvailable(view) &&
		!(appliesEjections && isEjected(view, now)) &&
		(!options.hasSlowStart || mayStart(view, now));
	if (!options.hasTwoChoices) {
		return drawAny(group, mayChoose, isAvailable, random);
	}

	const draw = (mayDraw: (view: TargetView) => boolean) =>
		options.hasLocality
			? drawLocalFirst(group, mayDraw, random, now)
			: drawTwo(group.views, mayDraw, random);
	let [first, second] = draw(mayChoose);
	if (!first) {
		// A group that has just started, or is ejected as a whole, still serves
		// requests.
		[first, second] = draw(isAvailable);
	}

	if (!first) {
		return drawAny(group, mayChoose, isAvailable, random);
	}

	if (appliesEjections && call.requestClass !== 'essential') {
		const probed = [first, second].find(
			(view) => view && isDueForProbe(view, now),
		);
		if (probed) {
			return {
				view: probed,
				reason: `${probed.candidate.node} is probed after its ejection`,
			};
		}
	}

	if (!second) {
		return {
			view: first,
			reason: `${first.candidate.node} is the only available target`,
		};
	}

	const typical = typicalOf(group.durations, call.operation);
	const timeLeft = call.deadline - now;
	const firstRate = rateTarget(first, timeLeft, typical, now);
	const secondRate = rateTarget(second, timeLeft, typical, now);
	return isBetter(firstRate, secondRate)
		? {view: first, reason: explain(first, firstRate, second, secondRate)}
		: {view: second, reason: explain(second, secondRate, first, firstRate)};
}

/** The reason for the log, with tier and cost of both targets. */
function explain(
	chosen: TargetView,
	rate: Suitability,
	other: TargetView,
	otherRate: Suitability,
): string {
	return `${chosen.candidate.node} at ${format(rate)} before ${other.candidate.node} at ${format(otherRate)}`;
}

function format({tier, cost}: Suitability): string {
	return `${tier}/${Math.round(cost * 100)}`;
}

/** Draws two local targets while one of them has room, otherwise two of all targets. */
function drawLocalFirst(
	group: RoutingGroup,
	mayChoose: (view: TargetView) => boolean,
	random: Random,
	now: number,
): [TargetView?, TargetView?] {
	const drawn = drawTwo(group.local, mayChoose, random);
	if (drawn.some((view) => view && hasRoom(view, now))) {
		return drawn;
	}

	// Without local room all targets are drawn alike, so that no remote one gets
	// more than its share.
	return drawTwo(group.views, mayChoose, random);
}

function drawAny(
	group: RoutingGroup,
	mayChoose: (view: TargetView) => boolean,
	isAvailable: (view: TargetView) => boolean,
	random: Random,
): TargetChoice | undefined {
	const active =
		drawOne(group.views, mayChoose, random) ??
		drawOne(group.views, isAvailable, random);
	const view = active ?? drawOne(group.suspect, isAvailable, random);
	return (
		view && {
			view,
			reason: `${view.candidate.node} was drawn from ${active ? group.views.length : group.suspect.length} targets`,
		}
	);
}
