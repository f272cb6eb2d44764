/**
 * Looks up what the accepted configuration says of a request. The rules are
 * compiled once a version, so that a request costs a few map look-ups, however
 * many rules there are.
 */
import type {RequestClass} from '@egretspoke/protocol';
import type {
	Configuration,
	RequestRule,
	ServiceConfiguration,
} from './configuration.js';

/** What a request is, by the configuration in force. */
export type Classification = {
	requestClass: RequestClass;
	idempotent: boolean;
	/** Milliseconds for a first entry that states none. */
	deadline: number;
	/** Attempts for the whole chain. */
	attempts: number;
};

/** One service's compiled rules. */
export type Classifier = {
	deadline: number;
	attempts: number;
	/** Rules by method, `*` for every method, then by path. */
	rules: Map<string, Map<string, RequestRule>>;
};

/** What holds where no intent says otherwise. */
export const defaultIntent = {
	requestClass: 'normal',
	deadline: 4000,
	attempts: 3,
} as const;

const anyMethod = '*';

/** By RFC 9110, section 9.2.1, these are safe, so a repeat does no harm. */
const idempotentMethods = new Set(['GET', 'HEAD']);

/**
 * Classifies a request. The longest path that is the request's path or a
 * parent of it wins; at the same path, a rule for the method goes before one
 * for every method. Without a rule, only GET and HEAD count as idempotent.
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

	let prefix = trimSlash(withoutQuery(path));
	for (;;) {
		const rule = methodRules?.get(prefix) ?? anyMethodRules?.get(prefix);
		if (rule ?? prefix === '') {
			return rule;
		}

		prefix = prefix.slice(0, Math.max(0, prefix.lastIndexOf('/')));
	}
}

function withoutQuery(path: string): string {
	const end = path.search(/[?#]/u);
	return end === -1 ? path : path.slice(0, end);
}

function trimSlash(path: string): string {
	return path.endsWith('/') ? path.slice(0, -1) : path;
}
