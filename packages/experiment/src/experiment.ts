/** Runs the same seeded load through each policy. */
import {computeLimit} from './capacity.js';
import {findVariant} from './policy-variant.js';
import {deployments, type DeploymentName} from './deployment.js';
import {computeFigures, goodputOverTime, type Figures} from './figures.js';
import {runVariant} from './run.js';
import {scenarios, type ScenarioName} from './scenario.js';

/** Input of an experiment. */
export type ExperimentSetup = {
	scenario: ScenarioName;
	deployment: DeploymentName;
	seed: number;
	policies: string[];
};

/** The printed result: the limit, then the figures by policy name. */
export type ExperimentResult = {
	scenario: ScenarioName;
	seed: number;
	deployment: DeploymentName;
	limitGoodput: number;
	policies: Record<string, Figures>;
};

/** A point of the chart of goodput over time. */
export type GoodputPoint = {policy: string; second: number; goodput: number};

/** Runs every policy of the setup; `observe` receives their goodput over time. */
export function runExperiment(
	setup: ExperimentSetup,
	observe?: (point: GoodputPoint) => void,
): ExperimentResult {
	const {seed} = setup;
	const scenario = scenarios[setup.scenario];
	const deployment = deployments[setup.deployment];
	const policies: Record<string, Figures> = {};
	let limit = 0;
	for (const name of setup.policies) {
		const variant = findVariant(name);
		if (variant === undefined) {
			throw new RangeError(`unknown policy: ${name}`);
		}

		const tally = runVariant(variant, deployment, scenario, seed);
		limit = computeLimit(deployment, scenario, tally.userArrivals);
		policies[name] = computeFigures(tally, scenario, limit);
		if (observe) {
			for (const point of goodputOverTime(tally, scenario)) {
				observe({policy: name, ...point});
			}
		}
	}

	return {
		scenario: setup.scenario,
		seed,
		deployment: setup.deployment,
		limitGoodput: Math.round(limit * 10_000) / 10_000,
		policies,
	};
}

/** A result whose entries by policy are printed at the top level, under the policy's name. */
type PrintableResult = Record<string, unknown> & {
	policies: Record<string, unknown>;
};

/** Formats the result as one JSON object; undefined values become null. */
export function formatResult({policies, ...rest}: PrintableResult): string {
	return JSON.stringify({...rest, ...policies}, (_key, value: unknown) =>
		value === undefined ? null : value,
	);
}
