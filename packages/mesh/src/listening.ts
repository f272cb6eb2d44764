/** Listening on an address, for every listener of a node. */
import {once} from 'node:events';
import type {Server} from 'node:net';

/** Connections that may wait to be accepted: a burst of callers that each open their own. */
const backlog = 4096;

/**
 * Listens on `ip:port` and gives the address that it got, for a port that was
 * 0. It rejects with Node's own error, such as EADDRINUSE.
 */
export async function listenOn(
	server: Server,
	address: string,
): Promise<string> {
	const colon = address.lastIndexOf(':');
	const host = address.slice(0, colon);
	server.listen(Number(address.slice(colon + 1)), host, backlog);
	await once(server, 'listening');
	const bound = server.address();
	return typeof bound === 'object' && bound ? `${host}:${bound.port}` : address;
}
