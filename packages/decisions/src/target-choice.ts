/** The choice of a target: the modules of routing, in their order. */
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

/** The choice's behaviour, by what is switched on. */
export type ChoiceOptions = {
	hasTwoChoices: boolean;
	hasLocality: boolean;
	hasSlowStart: boolean;
	hasEjection: boolean;
};

/** What is to be chosen for. */
export type ChoiceRequest = {
	call: CallFacts;
	/** Nodes that have refused the request. */
	exclude: string[];
	random: Random;
	now: number;
};

/** A chosen target and why. */
export type TargetChoice = {view: TargetView; reason: string};

/** Reads the context's switches once. */
export function createChoiceOptions(
	without: ReadonlySet<Mechanism> | undefined,
): ChoiceOptions {
	const isOn = (mechanism: Mechanism) => !without?.has(mechanism);
	return {
		hasTwoChoices: isOn('two-choices'),
		hasLocality: isOn('locality'),
		hasSlowStart: isOn('slow-start'),
		hasEjection: isOn('ejection'),
	};
}

/** Chooses; undefined when no target may be chosen. */
export function chooseTarget(
	group: RoutingGroup,
	options: ChoiceOptions,
	{call, exclude, random, now}: ChoiceRequest,
): TargetChoice | undefined {
	const isReachable = (view: TargetView) =>
		hasConnection(view) && !exclude.includes(view.candidate.node);
	const isOpen = (view: TargetView) =>
		isReachable(view) && (!options.hasSlowStart || mayStart(view, now));
	const counts = options.hasEjection && !isPanic(group);
	const mayChoose = counts
		? (view: TargetView) => isOpen(view) && !isEjected(view, now)
		: isOpen;
	if (!options.hasTwoChoices) {
		return drawAny(group, [mayChoose, isOpen, isReachable], random);
	}

	const [first, second] = options.hasLocality
		? drawLocalFirst(group, mayChoose, random, now)
		: drawTwo(group.views, mayChoose, random);
	if (!first) {
		return drawAny(group, [mayChoose, isOpen, isReachable], random);
	}

	if (counts && call.requestClass !== 'essential') {
		const probed = [first, second].find(
			(view) => view && isDueForProbe(view, now),
		);
		if (probed) {
			return {
				view: probed,
				reason: `${probed.candidate.node} is tried again after its ejection`,
			};
		}
	}

	if (!second) {
		return {view: first, reason: `${first.candidate.node} is the only one`};
	}

	const typical = typicalOf(group.durations, call.operation);
	const timeLeft = call.deadline - now;
	const firstRate = rateTarget(first, timeLeft, typical, now);
	const secondRate = rateTarget(second, timeLeft, typical, now);
	return isBetter(firstRate, secondRate)
		? {view: first, reason: explain(first, firstRate, second, secondRate)}
		: {view: second, reason: explain(second, secondRate, first, firstRate)};
}

function explain(
	chosen: TargetView,
	rate: Suitability,
	other: TargetView,
	otherRate: Suitability,
): string {
	return `${chosen.candidate.node} at ${format(rate)} before ${other.candidate.node} at ${format(otherRate)}`;
}

function format({tier, cost}: Suitability): string {
	return `${tier}/${Math.round(cost * 100) / 100}`;
}

/** Two local targets while one has room, else a local and a remote one. */
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

	// Without room here, all targets are drawn alike, so that no remote one gets more than its share.
	return drawTwo(group.views, mayChoose, random);
}

/**
 * Draws by the first rule that some target meets. Slow start and ejection are
 * preferences: where every target is new, as after a restart of a whole data
 * centre, one of them gets the request, and its own admission decides.
 */
function drawAny(
	group: RoutingGroup,
	rules: Array<(view: TargetView) => boolean>,
	random: Random,
): TargetChoice | undefined {
	for (const views of [group.views, group.suspect]) {
		for (const rule of rules) {
			const view = drawOne(views, rule, random);
			if (view) {
				const reason = `${view.candidate.node} of ${views.length}`;
				return {view, reason};
			}
		}
	}

	return undefined;
}
