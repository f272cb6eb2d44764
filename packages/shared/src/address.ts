/** Addresses of listeners and peers: an IP number and a port. */
import {isIP} from 'node:net';
import {z} from 'zod';

/** An address in its parts; port 0 lets the system choose a free one. */
export type Address = {host: string; port: number};

const maxPort = 65_535;
const addressPattern =
	/^(?:\[(?<bracketed>[^\]]+)\]|(?<plain>[^:]+)):(?<port>\d{1,5})$/u;

/** Parses `10.0.0.1:7400` or `[::1]:7400`; undefined for any other text. */
export function parseAddress(text: string): Address | undefined {
	const groups = addressPattern.exec(text)?.groups;
	if (!groups) {
		return undefined;
	}

	const host = groups.bracketed ?? groups.plain ?? '';
	const family = groups.bracketed ? 6 : 4;
	const port = Number(groups.port);
	return isIP(host) === family && port <= maxPort ? {host, port} : undefined;
}

/** Formats an address so that `parseAddress` can read it. */
export function formatAddress({host, port}: Address): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** An address in a document; it stays text. */
export const addressSchema = z.string().superRefine((text, context) => {
	if (!parseAddress(text)) {
		context.addIssue({
			code: 'custom',
			message: `${JSON.stringify(text)} is not an address`,
			params: {
				expected: 'expected an IP number and a port, such as 10.0.0.1:7400',
			},
		});
	}
});

/** An address to connect to, as another process states it; unlike that of a listener, its port is not 0. */
export const remoteAddressSchema = addressSchema.refine(
	(text) => parseAddress(text)?.port !== 0,
	{error: 'expected a port from 1 to 65535'},
);
