/**
 * Node's own HTTP parser (llhttp), for responses.
 *
 * Node's HTTP client around it creates streams, listeners and header objects for
 * each request. Nodes of a mesh are cold, so that code costs more than the
 * parser does. The module that exports the parser is not documented; the specs of
 * the target client fail if its interface changes. llhttp 8.1.2 (Node 20.19)
 * reads some responses more leniently than RFC 9112; the checks on heads here make
 * all versions read alike.
 */
import {maxHeaderSize} from 'node:http';
import {createRequire} from 'node:module';

/** Receives the parts of responses, in this order. */
export type ResponseHandler = {
	/** The first byte of a response arrived. */
	onBegin(): void;
	/** Headers are complete; returns whether the response has no body, regardless of its framing. */
	onHead(
		status: number,
		headers: string[],
		options: {isUpgrade: boolean; isKeptAlive: boolean},
	): boolean;
	/** Receives a copy of a part of the body. */
	onBody(part: Uint8Array): void;
	onComplete(): void;
};

/** A parser of the responses of one connection. */
export type ResponseParser = {
	/** Parses received bytes; returns whether they are valid. */
	parse(bytes: Uint8Array): boolean;
	/** Ends a response without a length; returns whether the end is valid here. */
	finish(): boolean;
	/** Frees the parser; no other function may be called afterwards. */
	close(): void;
};

/** The interface of Node's parser, as far as it is used; callbacks are stored at the keys of their kinds. */
type NodeParser = Record<number, (...values: never[]) => unknown> & {
	initialize(
		type: number,
		resource: Record<string, unknown>,
		maxHeaderBytes: number,
	): void;
	execute(bytes: Uint8Array): number | Error;
	finish(): Error | undefined;
	close(): void;
};
type NodeParserClass = (new () => NodeParser) &
	Record<
		| 'RESPONSE'
		| 'kOnMessageBegin'
		| 'kOnHeaders'
		| 'kOnHeadersComplete'
		| 'kOnBody'
		| 'kOnMessageComplete',
		number
	>;

// eslint-disable-next-line @typescript-eslint/naming-convention -- a class.
const {HTTPParser: Parser} = createRequire(import.meta.url)(
	'node:_http_common',
) as {HTTPParser: NodeParserClass};

/** Results of the callback for headers: parse the body, expect none, or stop with an error. */
const bodyFollows = 0;
const noBodyFollows = 1;
const malformedHead = -1;

const transferEncoding = 'transfer-encoding';

/** Creates the parser of a connection. */
export function createResponseParser(handler: ResponseHandler): ResponseParser {
	const parser = new Parser();
	/** Headers that were delivered early, because there are more than Node's parser collects. */
	let earlyHeaders: string[] = [];
	parser.initialize(Parser.RESPONSE, {}, maxHeaderSize);
	parser[Parser.kOnMessageBegin] = () => {
		earlyHeaders = [];
		handler.onBegin();
	};

	// Also called with the trailers, which are dropped.
	parser[Parser.kOnHeaders] = (headers: string[]) => {
		earlyHeaders.push(...headers);
	};

	/* eslint-disable max-params -- the parser's interface. */
	parser[Parser.kOnHeadersComplete] = (
		_major: number,
		_minor: number,
		headers: string[] | undefined,
		_method: undefined,
		_url: undefined,
		status: number,
		_statusText: string,
		isUpgrade: boolean,
		isKeptAlive: boolean,
	) => {
		const all = headers ?? earlyHeaders;
		if (hasInvalidName(all) || hasOtherCoding(all)) {
			return malformedHead;
		}

		return handler.onHead(status, all, {isUpgrade, isKeptAlive}) ||
			isBodiless(status)
			? noBodyFollows
			: bodyFollows;
	};

	/* eslint-enable max-params */
	parser[Parser.kOnBody] = (part: Uint8Array) => {
		handler.onBody(part);
	};

	parser[Parser.kOnMessageComplete] = () => {
		handler.onComplete();
	};

	return {
		parse: (bytes) => typeof parser.execute(bytes) === 'number',
		finish: () => parser.finish() === undefined,
		close() {
			parser.close();
		},
	};
}

/**
 * Whether a response with the status ends with its headers, whatever length they
 * state (RFC 9112, section 6.3).
 */
function isBodiless(status: number): boolean {
	return status < 200 || status === 204 || status === 304;
}

/** Whether a header name contains a space; other readers take a part of it for the name. */
function hasInvalidName(headers: string[]): boolean {
	for (let index = 0; index < headers.length; index += 2) {
		if (headers[index]!.includes(' ')) {
			return true;
		}
	}

	return false;
}

/**
 * Whether a transfer coding other than a single `chunked` is applied. The header
 * that names it is not forwarded, so the coded bytes would pass for the body; no
 * request offers any (RFC 9112, section 7.4).
 */
function hasOtherCoding(headers: string[]): boolean {
	let codings = 0;
	for (let index = 0; index < headers.length; index += 2) {
		const name = headers[index]!;
		if (
			name.length === transferEncoding.length &&
			name.toLowerCase() === transferEncoding
		) {
			codings++;
			if (codings > 1 || headers[index + 1]!.toLowerCase() !== 'chunked') {
				return true;
			}
		}
	}

	return false;
}
