/**
 * Whether a request can be written to the target. The HTTP client rejects one
 * that can't be, and counts its connection as busy from then on: as many such
 * requests as the target has connections would keep every later one waiting
 * until its deadline.
 */
import {validateHeaderName, validateHeaderValue} from 'node:http';
import type {CallRequest} from '@egretspoke/protocol';

/** The parts of a request that are written in its head. */
export type RequestHead = Pick<CallRequest, 'method' | 'path' | 'headers'>;

const methodPattern = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/u;
const pathPattern = /^(?:\/|https?:\/\/)[\u0021-\u00FF]*$/u;

/** Returns what is wrong with the request, for its sender; undefined when it can be sent. */
export function findRequestFault(head: RequestHead): string | undefined {
	if (!methodPattern.test(head.method) || head.method === 'CONNECT') {
		return 'the method is invalid';
	}

	return pathPattern.test(head.path)
		? findHeaderFault(head.headers)
		: 'the path must be absolute';
}

function findHeaderFault(headers: Record<string, string>): string | undefined {
	for (const [name, value] of Object.entries(headers)) {
		try {
			validateHeaderName(name);
			validateHeaderValue(name, value);
		} catch {
			return `the header ${JSON.stringify(name.slice(0, 100))} is invalid`;
		}
	}

	return undefined;
}
