/** Prepares a plan from intents: the changes, their effects and the warnings. */
import type {Plan, PlanChange} from '@egretspoke/protocol';
import {formatDuration} from '@egretspoke/shared';
import {defaultIntent} from './classification.js';
import {
	applyIntents,
	describeMatch,
	writeConfiguration,
	type Configuration,
	type ConfigurationBody,
	type ServiceConfiguration,
} from './configuration.js';
import type {ServiceIntent} from './intent.js';
import {listWarnings, type KnownTarget} from './plan-warnings.js';

/** The input of a plan. */
export type PlanInput = {
	id: string;
	author: string;
	createdAt: Date;
	intents: ServiceIntent[];
	/** The accepted configuration that the plan changes. */
	base: Configuration;
	/** The announced targets, for the warnings. */
	targets: KnownTarget[];
};

/** A plan and the body that its confirmation puts in force. */
export type PreparedPlan = {plan: Plan; body: ConfigurationBody};

/** Prepares a plan; it has no effect until it is confirmed. */
export function preparePlan(input: PlanInput): PreparedPlan {
	const {id, author, createdAt, intents, base, targets} = input;
	const services = applyIntents(base.services, intents);
	const plan: Plan = {
		id,
		author,
		baseVersion: base.version,
		createdAt: createdAt.toISOString(),
		changes: listChanges(base.services, services),
		warnings: listWarnings({before: base.services, after: services, targets}),
	};
	return {plan, body: writeConfiguration(base.version + 1, services)};
}

/** Lists all differences between two configurations, by service. */
export function listChanges(
	before: ServiceConfiguration[],
	after: ServiceConfiguration[],
): PlanChange[] {
	const previousServices = new Map(before.map((each) => [each.service, each]));
	const nextServices = new Map(after.map((each) => [each.service, each]));
	const names = new Set([...previousServices.keys(), ...nextServices.keys()]);
	return [...names].sort().flatMap((service) => {
		const previous = flattenSettings(previousServices.get(service));
		const next = flattenSettings(nextServices.get(service));
		const paths = new Set([...previous.keys(), ...next.keys()]);
		return [...paths]
			.filter((path) => previous.get(path) !== next.get(path))
			.map((path) =>
				describeChange(service, path, previous.get(path), next.get(path)),
			);
	});
}

/** Returns the settings of a service by path. */
function flattenSettings(
	configuration: ServiceConfiguration | undefined,
): Map<string, string> {
	const settings = new Map<string, string>();
	if (!configuration) {
		return settings;
	}

	settings.set('service', 'configured');
	settings.set(
		'deadline',
		formatDuration(configuration.deadline ?? defaultIntent.deadline),
	);
	settings.set(
		'attempts',
		String(configuration.attempts ?? defaultIntent.attempts),
	);
	for (const rule of configuration.requests) {
		const match = describeMatch(rule);
		settings.set(
			`requests[${match}].class`,
			rule.class ?? defaultIntent.requestClass,
		);
		settings.set(
			`requests[${match}].idempotent`,
			rule.idempotent === undefined ? 'by method' : String(rule.idempotent),
		);
	}

	for (const call of configuration.calls) {
		settings.set(`calls[${call}]`, 'allowed');
	}

	for (const {node, intent} of configuration.targets) {
		settings.set(`targets[${node}]`, intent);
	}

	return settings;
}

function describeChange(
	service: string,
	path: string,
	before: string | undefined,
	after: string | undefined,
): PlanChange {
	const {kind, name} = splitPath(path);
	const describe = effects[kind];
	return {
		service,
		path,
		...(before !== undefined && {before}),
		...(after !== undefined && {after}),
		effect: describe(after, name, service),
	};
}

type DescribeEffect = (
	after: string | undefined,
	name: string,
	service: string,
) => string;

/** Functions that describe the effect of a change, by the kind of setting. */
const effects: Record<SettingKind, DescribeEffect> = {
	service: (after, _name, service) =>
		after === undefined
			? `${service} falls back to the built-in defaults`
			: `${service} gets an intent of its own`,
	deadline: (after) =>
		`requests that state no deadline are given up after ${after ?? formatDuration(defaultIntent.deadline)}`,
	attempts: (after) =>
		`a request and all it causes get ${after ?? defaultIntent.attempts} attempts together`,
	class: (after, name) =>
		classEffects[after ?? 'none']?.(name) ??
		`${name} is treated as ${defaultIntent.requestClass}`,
	idempotent: (after, name) =>
		idempotentEffects[after ?? 'by method']?.(name) ??
		`repeats of ${name} depend on its method`,
	calls: (after, name, service) =>
		after === undefined
			? `${service} is no longer said to call ${name}`
			: `${service} is said to call ${name}`,
	targets: (after, name) =>
		after === 'leave'
			? `${name} takes no new work and finishes what it has`
			: `${name} takes new work`,
};

const classEffects: Record<string, (name: string) => string> = {
	essential: (name) => `${name} is among the last to be refused under overload`,
	normal: (name) => `${name} is refused before essential requests`,
	deferrable: (name) => `${name} is refused first under overload`,
};

const idempotentEffects: Record<string, (name: string) => string> = {
	true: (name) => `${name} may be tried again elsewhere, so it may run twice`,
	false: (name) => `${name} needs an Idempotency-Key and runs at most once`,
};

type SettingKind =
	| 'service'
	| 'deadline'
	| 'attempts'
	| 'class'
	| 'idempotent'
	| 'calls'
	| 'targets';

/** `requests[POST /payments].class` → `class`, `POST /payments`. */
function splitPath(path: string): {kind: SettingKind; name: string} {
	const open = path.indexOf('[');
	const close = path.lastIndexOf(']');
	const kind = path.slice(close + 2) || path.slice(0, open);
	return open === -1
		? {kind: path as SettingKind, name: ''}
		: {kind: kind as SettingKind, name: path.slice(open + 1, close)};
}
