/**
 * The platform over HTTP; `http-protocol.ts` describes the protocol. A call that
 * never reached an open connection is `unavailable`. A write whose body was sent
 * and whose response is missing or unreadable is `unknown`.
 */
import {err, ok, okAsync, ResultAsync, type Result} from 'neverthrow';
import type {z} from 'zod';
import {
	createExchanger,
	type ExchangerOptions,
	type ExchangeRequest,
	type ExchangeResult,
} from './http-exchange.js';
import {
	conflictAnswerSchema,
	noEffect,
	rowsAnswerSchema,
	rowSchema,
} from './http-protocol.js';
import type {Platform, PlatformError} from './platform.js';

/** A platform whose connections can be closed. */
export type HttpPlatform = Platform & {close(): Promise<void>};

type Answer = Extract<ExchangeResult, {kind: 'answer'}>;
type Effect = 'read' | 'write';

/** Creates a client of the platform; `timeout` is the timeout of each call in milliseconds. */
export function createHttpPlatform(options: ExchangerOptions): HttpPlatform {
	const exchanger = createExchanger(options);
	const exchange = async (request: ExchangeRequest, effect: Effect) => {
		const result = await exchanger.exchange(request);
		return classifyResult(result, effect);
	};

	const call = (request: ExchangeRequest, effect: Effect) =>
		new ResultAsync(exchange(request, effect));

	return {
		table: {
			read: (key) =>
				call(
					{method: 'GET', path: `/table/rows/${encode(key)}`},
					'read',
				).andThen((answer) =>
					answer.status === 404
						? ok(undefined)
						: readJson(answer, rowSchema, 'read'),
				),
			list: (prefix) =>
				call(
					{method: 'GET', path: `/table/rows?prefix=${encode(prefix)}`},
					'read',
				)
					.andThen((answer) => readJson(answer, rowsAnswerSchema, 'read'))
					.map(({rows}) => rows),
			transact: (writes) =>
				call(
					{
						method: 'POST',
						path: '/table/transactions',
						body: JSON.stringify({writes}),
					},
					'write',
				)
					.andThen((answer) => readJson(answer, rowsAnswerSchema, 'write'))
					.map(({rows}) => rows),
		},
		objects: {
			get: (name) =>
				call({method: 'GET', path: `/objects/${encode(name)}`}, 'read').andThen(
					(answer) => ok(answer.status === 404 ? undefined : answer.text),
				),
			put: (name, body) =>
				call(
					{method: 'PUT', path: `/objects/${encode(name)}`, body},
					'write',
				).andThen(() => okAsync(undefined)),
		},
		close: async () => exchanger.close(),
	};
}

function encode(text: string): string {
	return encodeURIComponent(text);
}

/** Returns a successful response, or the kind of failure. */
function classifyResult(
	result: ExchangeResult,
	effect: Effect,
): Result<Answer, PlatformError> {
	if (result.kind === 'failed') {
		const mayHaveEffect = effect === 'write' && result.handedOver;
		return err({
			kind: mayHaveEffect ? 'unknown' : 'unavailable',
			detail: result.detail,
		});
	}

	if (result.status >= 200 && result.status < 300) {
		return ok(result);
	}

	if (result.status === 404 && effect === 'read') {
		return ok(result);
	}

	return err(describeFailure(result, effect));
}

function describeFailure(answer: Answer, effect: Effect): PlatformError {
	if (answer.status === 409) {
		const conflict = parseJson(answer.text, conflictAnswerSchema);
		return {kind: 'conflict', detail: conflict?.detail ?? 'a condition failed'};
	}

	const isCertified = answer.effect === noEffect;
	return {
		kind: effect === 'read' || isCertified ? 'unavailable' : 'unknown',
		detail: `the platform answered ${answer.status}`,
	};
}

function readJson<T>(
	answer: Answer,
	schema: z.ZodType<T>,
	effect: Effect,
): Result<T, PlatformError> {
	const value = parseJson(answer.text, schema);
	return value === undefined
		? err({
				kind: effect === 'write' ? 'unknown' : 'unavailable',
				detail: 'the answer of the platform is malformed',
			})
		: ok(value);
}

function parseJson<T>(text: string, schema: z.ZodType<T>): T | undefined {
	try {
		const parsed = schema.safeParse(JSON.parse(text));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
