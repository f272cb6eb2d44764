/** The parts of a forwarded request that identify it across repeats. */
import type {RequestParts} from '@egretspoke/quarantine';
import type {ForwardedRequest} from '../links/exchange.js';
import {findHeader, type HeaderNames} from '../configuration/header-names.js';

const noBody = new Uint8Array();

/** Returns the parts of a request; with workspaces, its caller is its workspace. */
export function partsOf(
	{
		method,
		path,
		headers,
		body,
	}: Pick<ForwardedRequest, 'method' | 'path' | 'headers' | 'body'>,
	{workspace}: Pick<HeaderNames, 'workspace'>,
): RequestParts {
	return {
		method,
		host: findHeader(headers, 'host') ?? '',
		path,
		caller: findHeader(headers, workspace) ?? '',
		body: body ?? noBody,
	};
}
