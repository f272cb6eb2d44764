/** Warnings about changes that are allowed but may be mistakes. */
import {rankOf} from '@egretspoke/protocol';
import {defaultIntent} from './classification.js';
import {describeMatch, type ServiceConfiguration} from './configuration.js';

/** A target that has announced itself. */
export type KnownTarget = {node: string; service: string};

/** The services before and after a plan, and the announced targets. */
export type WarningInput = {
	before: ServiceConfiguration[];
	after: ServiceConfiguration[];
	targets: KnownTarget[];
};

/** Lists the warnings of a plan, one sentence each. */
export function listWarnings(input: WarningInput): string[] {
	return [
		...warnOfLastTargets(input),
		...warnOfUnknownNodes(input),
		...warnOfLostProtection(input),
		...warnOfUnknownCalls(input),
		...warnOfCycles(input),
	];
}

function warnOfLastTargets({after, targets}: WarningInput): string[] {
	return after.flatMap((configuration) => {
		const leaving = listLeaving(configuration);
		const known = targets.filter(
			({service}) => service === configuration.service,
		);
		const isLast =
			leaving.size > 0 && known.every(({node}) => leaving.has(node));
		return isLast
			? [
					`the last target of ${configuration.service} leaves: its requests will be refused`,
				]
			: [];
	});
}

function warnOfUnknownNodes({after, targets}: WarningInput): string[] {
	return after.flatMap((configuration) =>
		configuration.targets.flatMap(({node}) => {
			const known = targets.find((target) => target.node === node);
			if (!known) {
				return [`${node} has not announced itself`];
			}

			return known.service === configuration.service
				? []
				: [`${node} announces ${known.service}, not ${configuration.service}`];
		}),
	);
}

function warnOfLostProtection({before, after}: WarningInput): string[] {
	const previousServices = new Map(before.map((each) => [each.service, each]));
	return after.flatMap((configuration) => {
		const rules = previousServices.get(configuration.service)?.requests ?? [];
		const previousRules = new Map(
			rules.map((rule) => [describeMatch(rule), rule]),
		);
		return configuration.requests.flatMap((rule) => {
			const match = describeMatch(rule);
			const previous = previousRules.get(match);
			const rank = (each: typeof rule | undefined) =>
				rankOf(each?.class ?? defaultIntent.requestClass);
			return [
				...(previous && rank(rule) > rank(previous)
					? [
							`${configuration.service}: ${match} will be refused earlier than before`,
						]
					: []),
				...(previous?.idempotent === false && rule.idempotent
					? [`${configuration.service}: ${match} may run twice from now on`]
					: []),
			];
		});
	});
}

function warnOfUnknownCalls({after}: WarningInput): string[] {
	const names = new Set(after.map(({service}) => service));
	return after.flatMap(({service, calls}) =>
		calls
			.filter((call) => !names.has(call))
			.map(
				(call) =>
					`${service} calls ${call}, which has no intent: the built-in defaults apply to it`,
			),
	);
}

/** In a cycle, a request can return to a service that is still processing it. */
function warnOfCycles({after}: WarningInput): string[] {
	const calls = new Map(
		after.map((configuration) => [configuration.service, configuration.calls]),
	);
	return after
		.filter(({service}) => isReachable(calls, service))
		.map(({service}) => `${service} is called again by services that it calls`);
}

function isReachable(calls: Map<string, string[]>, service: string): boolean {
	const pending = [...(calls.get(service) ?? [])];
	const seen = new Set<string>();
	for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
		if (next === service) {
			return true;
		}

		if (!seen.has(next)) {
			seen.add(next);
			pending.push(...(calls.get(next) ?? []));
		}
	}

	return false;
}

function listLeaving({targets}: ServiceConfiguration): Set<string> {
	return new Set(
		targets.filter(({intent}) => intent === 'leave').map(({node}) => node),
	);
}
