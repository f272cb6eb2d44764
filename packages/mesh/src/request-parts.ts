/** The parts of a request on its way that a repeat of it shares. */
import type {RequestParts} from '@egretspoke/quarantine';
import type {ForwardedRequest} from './exchange.js';
import {findHeader, type HeaderNames} from './header-names.js';

const noBody = new Uint8Array();

/** The parts; its caller is its workspace, where there are workspaces. */
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
