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
	return after.flatMap((part) => {
		const leaving = listLeaving(part);
		const known = targets.filter(({service}) => service === part.service);
		const isLast =
			leaving.size > 0 && known.every(({node}) => leaving.has(node));
		return isLast
			? [
					`the last target of ${part.service} leaves: its requests will be refused`,
				]
			: [];
	});
}

function warnOfUnknownNodes({after, targets}: WarningInput): string[] {
	return after.flatMap((part) =>
		part.targets.flatMap(({node}) => {
			const known = targets.find((target) => target.node === node);
			if (!known) {
				return [`${node} has not announced itself`];
			}

			return known.service === part.service
				? []
				: [`${node} announces ${known.service}, not ${part.service}`];
		}),
	);
}

function warnOfLostProtection({before, after}: WarningInput): string[] {
	const old = new Map(before.map((each) => [each.service, each]));
	return after.flatMap((part) => {
		const rules = old.get(part.service)?.requests ?? [];
		const was = new Map(rules.map((rule) => [describeMatch(rule), rule]));
		return part.requests.flatMap((rule) => {
			const match = describeMatch(rule);
			const previous = was.get(match);
			const rank = (each: typeof rule | undefined) =>
				rankOf(each?.class ?? defaultIntent.requestClass);
			return [
				...(previous && rank(rule) > rank(previous)
					? [`${part.service}: ${match} will be refused earlier than before`]
					: []),
				...(previous?.idempotent === false && rule.idempotent
					? [`${part.service}: ${match} may run twice from now on`]
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
	const calls = new Map(after.map((part) => [part.service, part.calls]));
	return after
		.filter(({service}) => isReachable(calls, service))
		.map(({service}) => `${service} is called again by services that it calls`);
}

function isReachable(calls: Map<string, string[]>, service: string): boolean {
	const open = [...(calls.get(service) ?? [])];
	const seen = new Set<string>();
	for (let next = open.pop(); next !== undefined; next = open.pop()) {
		if (next === service) {
			return true;
		}

		if (!seen.has(next)) {
			seen.add(next);
			open.push(...(calls.get(next) ?? []));
		}
	}

	return false;
}

function listLeaving({targets}: ServiceConfiguration): Set<string> {
	return new Set(
		targets.filter(({intent}) => intent === 'leave').map(({node}) => node),
	);
}
