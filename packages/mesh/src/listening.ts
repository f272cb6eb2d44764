/** Binds the listeners of a node to their addresses. */
import {once} from 'node:events';
import type {Server} from 'node:net';

/** Maximum connections waiting to be accepted, for bursts of callers that each open a connection. */
const backlog = 4096;

/**
 * Listens on `ip:port` and returns the bound address, which differs if the port
 * is 0. Rejects with Node's error, such as EADDRINUSE.
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
