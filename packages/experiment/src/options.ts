/** Validates the command line of the experiment; one error lists all findings. */
import {formatFinding, type Finding} from '@egretspoke/shared';
import {err, ok, type Result} from 'neverthrow';
import {variantNames} from './policy-variant.js';
import {deploymentNames, type DeploymentName} from './deployment.js';
import {scenarioNames, type ScenarioName} from './scenario.js';

/** Flags as parsed by commander. */
export type Flags = {
	scenario?: string;
	deployment: string;
	seed?: string;
	sweep?: string;
	policy?: string[];
	table?: boolean;
	plot?: string;
	json?: boolean;
};

/** Validated options. */
export type Options = {
	scenario: ScenarioName;
	deployment: DeploymentName;
	seeds: number[];
	/** Whether to summarize the figures over several seeds. */
	isSweep: boolean;
	policies: string[];
	table: boolean;
	plot?: string;
};

/** Validates the flags; the error lists all findings. */
export function readOptions(flags: Flags): Result<Options, Finding[]> {
	const findings: Finding[] = [];
	const scenario = readChoice(
		'--scenario',
		flags.scenario,
		scenarioNames,
		findings,
	);
	const deployment = readChoice(
		'--deployment',
		flags.deployment,
		deploymentNames,
		findings,
	);
	const seeds = readSeeds(flags, findings);
	const policies = flags.policy ?? ['naive', 'egretspoke'];
	for (const policy of policies) {
		readChoice('--policy', policy, variantNames, findings);
	}

	if (
		scenario === undefined ||
		deployment === undefined ||
		findings.length > 0
	) {
		return err(findings);
	}

	return ok({
		scenario,
		deployment,
		seeds,
		isSweep: flags.sweep !== undefined,
		policies: [...new Set(policies)],
		table: flags.table ?? false,
		...(flags.plot === undefined ? {} : {plot: flags.plot}),
	});
}

/** Formats the findings, one per line. */
export function formatFindings(findings: Finding[]): string {
	return findings.map((finding) => formatFinding(finding)).join('\n');
}

function readChoice<Name extends string>(
	path: string,
	value: string | undefined,
	names: readonly Name[],
	findings: Finding[],
): Name | undefined {
	const found = names.find((name) => name === value);
	if (found === undefined) {
		findings.push({
			path,
			message: value === undefined ? 'is missing' : `"${value}" is unknown`,
			advice: `one of ${names.join(', ')}`,
		});
	}

	return found;
}

function readSeeds({seed, sweep}: Flags, findings: Finding[]): number[] {
	if (seed !== undefined && sweep !== undefined) {
		findings.push({path: '--sweep', message: 'excludes --seed'});
	}

	return sweep === undefined
		? readSeed(seed, findings)
		: readSweep(sweep, findings);
}

function readSeed(seed: string | undefined, findings: Finding[]): number[] {
	if (seed === undefined || !/^\d{1,9}$/u.test(seed)) {
		findings.push({
			path: '--seed',
			message: seed === undefined ? 'is missing' : `"${seed}" is not a seed`,
			advice: 'a whole number of up to nine digits, or --sweep A..B',
		});
		return [];
	}

	return [Number(seed)];
}

function readSweep(sweep: string, findings: Finding[]): number[] {
	const match = /^(?<first>\d{1,9})\.\.(?<last>\d{1,9})$/u.exec(sweep);
	const first = Number(match?.groups?.first);
	const last = Number(match?.groups?.last);
	if (!match || last < first) {
		findings.push({
			path: '--sweep',
			message: `"${sweep}" is not a range of seeds`,
			advice: 'two whole numbers, the smaller first, such as 1..20',
		});
		return [];
	}

	return Array.from({length: last - first + 1}, (_, index) => first + index);
}
