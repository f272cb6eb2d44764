/**
 * The accepted configuration: the intents of all services under one version
 * number. The checksum covers its canonical text, which the platform stores and
 * peers exchange. The version is part of the text, so that a body cannot be
 * accepted under another version's number.
 */
import {createHash} from 'node:crypto';
import {requestClassSchema} from '@egretspoke/protocol';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {compileClassifiers, type Classifier} from './classification.js';
import type {ServiceIntent} from './intent.js';

const requestRuleSchema = z.object({
	method: z.string().optional(),
	path: z.string(),
	class: requestClassSchema.optional(),
	idempotent: z.boolean().optional(),
});

const serviceConfigurationSchema = z.object({
	service: z.string(),
	/** Milliseconds. */
	deadline: z.number().positive().optional(),
	attempts: z.number().int().positive().optional(),
	requests: z.array(requestRuleSchema),
	calls: z.array(z.string()),
	targets: z.array(
		z.object({node: z.string(), intent: z.enum(['join', 'leave'])}),
	),
});

const configurationTextSchema = z.object({
	format: z.literal(1),
	version: z.number().int().positive(),
	services: z.array(serviceConfigurationSchema),
});

/** A rule that assigns a class and idempotency to requests. */
export type RequestRule = z.infer<typeof requestRuleSchema>;

/** The configuration of one service, in canonical order. */
export type ServiceConfiguration = z.infer<typeof serviceConfigurationSchema>;

/** A parsed configuration with compiled rules. */
export type Configuration = {
	/** 0 for the built-in defaults, which were never accepted. */
	version: number;
	/** SHA-256 of the text, in hexadecimal. */
	checksum: string;
	text: string;
	services: ServiceConfiguration[];
	classifiers: Map<string, Classifier>;
};

/** A configuration as it is stored and sent. */
export type ConfigurationBody = {
	version: number;
	checksum: string;
	text: string;
};

/** Why a body is invalid. */
export type InvalidBodyReason = 'checksum' | 'malformed' | 'version';

/** The built-in defaults: class `normal` for every request; only GET and HEAD are idempotent. */
export const defaultConfiguration: Configuration = {
	version: 0,
	checksum: '',
	text: '',
	services: [],
	classifiers: new Map(),
};

/** Serializes a configuration to its canonical text: equal services give equal bytes. */
export function writeConfiguration(
	version: number,
	services: ServiceConfiguration[],
): ConfigurationBody {
	const sorted = services.toSorted(compareBy(({service}) => service));
	const text = JSON.stringify({
		format: 1,
		version,
		services: sorted.map((service) => canonicalize(service)),
	});
	return {version, checksum: checksumOf(text), text};
}

/** Parses a body; the error tells whether its checksum, its format or its version is wrong. */
export function readConfiguration(
	body: ConfigurationBody,
): Result<Configuration, InvalidBodyReason> {
	if (checksumOf(body.text) !== body.checksum) {
		return err('checksum');
	}

	const parsed = configurationTextSchema.safeParse(parseJson(body.text));
	if (!parsed.success) {
		return err('malformed');
	}

	const {version, services} = parsed.data;
	return version === body.version
		? ok({...body, services, classifiers: compileClassifiers(services)})
		: err('version');
}

/** Returns the services after the intents have replaced, added or removed some of them. */
export function applyIntents(
	services: ServiceConfiguration[],
	intents: ServiceIntent[],
): ServiceConfiguration[] {
	const merged = new Map(services.map((each) => [each.service, each]));
	for (const intent of intents) {
		if (intent.removed) {
			merged.delete(intent.service);
		} else {
			merged.set(intent.service, fromIntent(intent));
		}
	}

	return [...merged.values()].toSorted(compareBy(({service}) => service));
}

/** The intent for a node's target; undefined when the configuration has none. */
export function targetIntentOf(
	configuration: Configuration,
	node: string,
): 'join' | 'leave' | undefined {
	for (const {targets} of configuration.services) {
		const target = targets.find((each) => each.node === node);
		if (target) {
			return target.intent;
		}
	}

	return undefined;
}

/** Returns the SHA-256 of a text, in hexadecimal. */
export function checksumOf(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

function fromIntent(intent: ServiceIntent): ServiceConfiguration {
	const {service, deadline, attempts, requests, calls, targets} = intent;
	return canonicalize({
		service,
		deadline,
		attempts,
		requests: (requests ?? []).map(({match, ...rest}) => ({...match, ...rest})),
		calls: calls ?? [],
		targets: targets ?? [],
	});
}

/** Sorts keys and lists; absent keys stay absent in the text. */
function canonicalize(
	configuration: ServiceConfiguration,
): ServiceConfiguration {
	const {service, deadline, attempts, requests, calls, targets} = configuration;
	return {
		service,
		deadline,
		attempts,
		requests: requests
			.map(({method, path, class: requestClass, idempotent}) => ({
				method,
				path,
				class: requestClass,
				idempotent,
			}))
			.sort(compareBy((rule) => describeMatch(rule))),
		calls: calls.toSorted(),
		targets: targets
			.map(({node, intent}) => ({node, intent}))
			.sort(compareBy(({node}) => node)),
	};
}

/** Returns `POST /payments`, or the path alone for a rule that matches every method. */
export function describeMatch({method, path}: RequestRule): string {
	return method === undefined ? path : `${method} ${path}`;
}

function compareBy<T>(keyOf: (value: T) => string) {
	return (left: T, right: T) => {
		const [first, second] = [keyOf(left), keyOf(right)];
		return first === second ? 0 : first < second ? -1 : 1;
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
