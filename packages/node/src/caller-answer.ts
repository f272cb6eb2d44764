/** Writes an outcome as an HTTP answer. */
import {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import {
	createRefusal,
	ErrorCode,
	errorMessages,
	formatHome,
	headerNames,
	type Answer,
	type Outcome,
	type Refusal,
} from '@egretspoke/protocol';
import type {CallerOutcome} from './caller-request.js';

/** Writes the whole answer; it is no error if the caller has disconnected. */
export function writeOutcome(
	response: ServerResponse,
	{request, outcome, home, keyExpiry}: CallerOutcome,
): void {
	response.setHeader(headerNames.request, request);
	if (home) {
		response.setHeader(headerNames.home, formatHome(home));
	}

	if (keyExpiry !== undefined) {
		response.setHeader(headerNames.keyExpiry, keyExpiry);
	}

	const write = writers[outcome.kind] as (
		response: ServerResponse,
		outcome: Outcome,
		request: string,
	) => void;
	write(response, outcome, request);
}

type Writers = {
	[Kind in Outcome['kind']]: (
		response: ServerResponse,
		outcome: Extract<Outcome, {kind: Kind}>,
		request: string,
	) => void;
};

const writers: Writers = {
	answered(response, {answer, repeated}, request) {
		const before = response.getHeaders();
		try {
			writeAnswer(
				response,
				answer,
				repeated ? 'answered; repeated' : 'answered',
			);
		} catch {
			// A peer states the status and the headers, and Node throws on invalid ones.
			resetHeaders(response, before);
			const refusal = createRefusal(ErrorCode.AnswerLost, {
				detail: 'the answer has an invalid status or header',
			});
			writeRefusal(response, refusal, 'unknown', request);
		}
	},
	notRun(response, {refusal}, request) {
		writeRefusal(response, refusal, 'not-run', request);
	},
	unknown(response, {refusal}, request) {
		writeRefusal(response, refusal, 'unknown', request);
	},
};

/** An interim answer would leave its caller waiting for the final one. */
const minFinalStatus = 200;

function writeAnswer(
	response: ServerResponse,
	{status, headers, body}: Answer,
	outcome: string,
): void {
	if (status < minFinalStatus) {
		throw new RangeError(`${status} is no status of a final answer`);
	}

	response.writeHead(status, {
		...headers,
		[headerNames.outcome]: outcome,
		...(!isBodiless(response.req.method, status) && {
			'content-length': body.length,
		}),
	});
	response.end(body);
}

/**
 * Whether an answer has no body by its method or status. A length of 0 would state
 * the size of the body that is left out (RFC 9110, section 8.6).
 */
function isBodiless(method: string | undefined, status: number): boolean {
	return method === 'HEAD' || status === 204 || status === 304;
}

function resetHeaders(
	response: ServerResponse,
	headers: OutgoingHttpHeaders,
): void {
	for (const name of response.getHeaderNames()) {
		response.removeHeader(name);
	}

	for (const [name, value] of Object.entries(headers)) {
		response.setHeader(name, value!);
	}
}

/** The body of a refusal. Programs read its codes; `message` and `advice` are for people. */
type RefusalBody = {
	outcome: string;
	code: number;
	error: string;
	message: string;
	advice: string;
	request: string;
	retryAfterMilliseconds?: number;
};

function writeRefusal(
	response: ServerResponse,
	{code, detail, retryAfter}: Refusal,
	outcome: string,
	request: string,
): void {
	const {status, advice} = errorMessages[code];
	const content: RefusalBody = {
		outcome,
		code,
		error: ErrorCode[code],
		message: detail,
		advice,
		request,
	};
	if (retryAfter !== undefined) {
		content.retryAfterMilliseconds = Math.ceil(retryAfter);
		response.setHeader(headerNames.retryAfter, Math.ceil(retryAfter));
		response.setHeader(
			headerNames.standardRetryAfter,
			Math.ceil(retryAfter / 1000),
		);
	}

	const body = Buffer.from(JSON.stringify(content));
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': body.length,
		[headerNames.outcome]: outcome,
		[headerNames.error]: `${code} ${ErrorCode[code]}`,
	});
	response.end(body);
}
