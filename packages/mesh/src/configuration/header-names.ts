/** The headers through which callers and targets of a deployment exchange metadata with nodes. */

/** Lower-case header names, configured per deployment. */
export type HeaderNames = {
	/** The caller's id of this attempt; the target repeats it in its answer. */
	requestId: string;
	/** Milliseconds until the caller's timeout. */
	timeLeft: string;
	/** The id of the only target that may run the request. */
	expectedTarget: string;
	/** The service local to the entry node of the request. */
	callerService: string;
	/** The key of the caller's workspace. */
	workspaceKey: string;
	/** The name of the caller's workspace, sent to targets. */
	workspace: string;
	/** The target's signature of its answer. */
	signature: string;
	/** Present when the target did not run the request. */
	notExecuted: string;
	/** The requests per second that the target accepts from all nodes together. */
	rateLimit: string;
	/** Present in all answers of a target that is leaving. */
	leaving: string;
};

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const connectionHeaders = new Set([
	'connection',
	'content-length',
	'expect',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

const plainOptions = new Set(['close', 'keep-alive']);

/** Whether the header with the lower-case name concerns one connection only. */
export function isConnectionHeader(name: string): boolean {
	return connectionHeaders.has(name);
}

/** Lists the headers named by the `Connection` header, which apply to this connection only. */
export function listNamed(
	value: string,
	known: Set<string> | undefined,
): Set<string> | undefined {
	const names = value
		.toLowerCase()
		.split(',')
		.map((name) => name.trim())
		.filter((name) => name !== '' && !plainOptions.has(name));
	return names.length === 0 ? known : new Set([...(known ?? []), ...names]);
}

/** Returns the headers without those that a `Connection` header names. */
export function dropNamed(headers: string[], names: Set<string>): string[] {
	return headers.filter(
		(_, index) => !names.has(headers[index - (index % 2)]!.toLowerCase()),
	);
}

/** Returns the value of the first header with the lower-case name. */
export function findHeader(
	headers: string[],
	name: string,
): string | undefined {
	for (let index = 0; index < headers.length; index += 2) {
		if (isNamed(headers[index]!, name)) {
			return headers[index + 1];
		}
	}

	return undefined;
}

function isNamed(header: string, name: string): boolean {
	return header.length === name.length && header.toLowerCase() === name;
}
