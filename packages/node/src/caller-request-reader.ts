/** Reads a caller request from an HTTP request and reports every fault in its headers. */
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {headerNames, parseHome} from '@egretspoke/protocol';
import type {CallerRequest} from './caller-request.js';
import {findRequestFault} from './request-validity.js';

const numberPattern = /^\d{1,16}$/u;
const identifierPattern = /^[\u0021-\u007E]{1,200}$/u;

/** Headers exchanged only between a caller and its node; the target receives its own. */
const callerOnlyHeaders = new Set<string>([
	headerNames.home,
	headerNames.keyExpiry,
	headerNames.attempts,
	headerNames.deadline,
	headerNames.requestClass,
]);

/** Reads the headers; the error lists every fault. */
export function readCallerRequest(
	request: IncomingMessage,
	body: Uint8Array,
): Result<CallerRequest, string[]> {
	const headers = copyHeaders(request);
	const faults: string[] = [];

	const readIdentifier = (name: string): string | undefined => {
		const value = headers[name];
		if (value !== undefined && !identifierPattern.test(value)) {
			faults.push(`${name} must be 1 to 200 visible characters`);
		}

		return value;
	};

	const readNumber = (name: string): number | undefined => {
		const value = headers[name];
		if (value !== undefined && !numberPattern.test(value)) {
			faults.push(`${name} must be a whole number`);
		}

		return value === undefined ? undefined : Number(value);
	};

	const service = readIdentifier(headerNames.service);
	const id = readIdentifier(headerNames.request);
	const key = readIdentifier(headerNames.idempotencyKey);
	const callerName = readIdentifier(headerNames.caller);
	const timeLeft = readNumber(headerNames.deadline);
	const keyExpiry = readNumber(headerNames.keyExpiry);
	const homeText = headers[headerNames.home];
	const home = homeText === undefined ? undefined : parseHome(homeText);
	if (homeText !== undefined && !home) {
		faults.push(`${headerNames.home} must be <node>@<incarnation>`);
	}

	const method = request.method ?? 'GET';
	const path = request.url ?? '/';
	const fault = findRequestFault({method, path, headers});
	if (fault !== undefined) {
		faults.push(fault);
	}

	// Accepted by llhttp 8.1.2 (Node 20.19); other readers take a part of it for the name.
	const invalidName = Object.keys(headers).find((name) => name.includes(' '));
	if (invalidName !== undefined) {
		faults.push(`the header name "${invalidName}" contains a space`);
	}

	if (service === undefined) {
		faults.push(`${headerNames.service} is missing`);
	}

	if (faults.length > 0) {
		return err(faults);
	}

	return ok({
		service: service!,
		method,
		path,
		headers: removeCallerOnlyHeaders(headers),
		body,
		caller: callerName ?? request.socket.remoteAddress ?? 'unknown',
		...(id !== undefined && {id}),
		...(key !== undefined && {key}),
		...(timeLeft !== undefined && {timeLeft}),
		...(keyExpiry !== undefined && {keyExpiry}),
		...(home && {home}),
	});
}

function copyHeaders(request: IncomingMessage): Record<string, string> {
	const headers: Record<string, string> = {};
	for (const [name, value] of Object.entries(request.headers)) {
		if (value !== undefined) {
			headers[name] = Array.isArray(value) ? value.join(', ') : value;
		}
	}

	return headers;
}

function removeCallerOnlyHeaders(
	headers: Record<string, string>,
): Record<string, string> {
	return Object.fromEntries(
		Object.entries(headers).filter(([name]) => !callerOnlyHeaders.has(name)),
	);
}
