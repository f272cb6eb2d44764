/**
 * Classifies requests by the accepted configuration. The rules are compiled once
 * per version, so that a request costs a few map lookups, regardless of the
 * number of rules.
 */
import type {RequestClass} from '@egretspoke/protocol';
import type {
	Configuration,
	RequestRule,
	ServiceConfiguration,
} from './configuration.js';

/** The class and the limits of a request under the configuration in force. */
export type Classification = {
	requestClass: RequestClass;
	idempotent: boolean;
	/** The deadline at the first entry node for a request without one, in milliseconds. */
	deadline: number;
	/** Maximum number of attempts for the whole call chain. */
	attempts: number;
};

/** One service's compiled rules. */
export type Classifier = {
	deadline: number;
	attempts: number;
	/** Rules by method (`*` for every method), then by path. */
	rules: Map<string, Map<string, RequestRule>>;
};

/** The defaults for services without an intent; the deadline is in milliseconds. */
export const defaultIntent = {
	requestClass: 'normal',
	deadline: 4000,
	attempts: 3,
} as const;

const anyMethod = '*';

/** These methods are safe (RFC 9110, section 9.2.1), so a retry does no harm. */
const idempotentMethods = new Set(['GET', 'HEAD']);

/**
 * Classifies a request. The rule with the longest path that equals the request's
 * path or is a parent of it applies; at the same path, a rule for the method takes
 * precedence over one for every method. Without a rule, only GET and HEAD are
 * idempotent.
 */
export function classify(
	configuration: Configuration,
	service: string,
	method: string,
	path: string,
): Classification {
	const classifier = configuration.classifiers.get(service);
	const rule = classifier && findRule(classifier, method, path);
	return {
		requestClass: rule?.class ?? defaultIntent.requestClass,
		idempotent: rule?.idempotent ?? idempotentMethods.has(method),
		deadline: classifier?.deadline ?? defaultIntent.deadline,
		attempts: classifier?.attempts ?? defaultIntent.attempts,
	};
}

/** Compiles the rules of every service. */
export function compileClassifiers(
	services: ServiceConfiguration[],
): Map<string, Classifier> {
	return new Map(
		services.map((service) => [service.service, compileClassifier(service)]),
	);
}

function compileClassifier(service: ServiceConfiguration): Classifier {
	const rules: Classifier['rules'] = new Map();
	for (const rule of service.requests) {
		const method = rule.method ?? anyMethod;
		const paths = rules.get(method) ?? new Map<string, RequestRule>();
		paths.set(trimSlash(rule.path), rule);
		rules.set(method, paths);
	}

	return {
		deadline: service.deadline ?? defaultIntent.deadline,
		attempts: service.attempts ?? defaultIntent.attempts,
		rules,
	};
}

function findRule(
	{rules}: Classifier,
	method: string,
	path: string,
): RequestRule | undefined {
	const methodRules = rules.get(method);
	const anyMethodRules = rules.get(anyMethod);
	if (!methodRules && !anyMethodRules) {
		return undefined;
	}

	let prefix = trimSlash(stripQuery(path));
	for (;;) {
		const rule = methodRules?.get(prefix) ?? anyMethodRules?.get(prefix);
		if (rule ?? prefix === '') {
			return rule;
		}

		prefix = prefix.slice(0, Math.max(0, prefix.lastIndexOf('/')));
	}
}

function stripQuery(path: string): string {
	const end = path.search(/[?#]/u);
	return end === -1 ? path : path.slice(0, end);
}

function trimSlash(path: string): string {
	return path.endsWith('/') ? path.slice(0, -1) : path;
}
