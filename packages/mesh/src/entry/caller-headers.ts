/** Reads the headers of a caller's request in one pass. */
import {
	dropNamed,
	isConnectionHeader,
	listNamed,
	type HeaderNames,
} from '../configuration/header-names.js';

/** What a node reads from the headers of a caller's request; of repeated headers, the first counts. */
export type CallerHeaders = {
	/** Size of the header lines on the wire, in bytes. */
	size: number;
	requestId: string;
	host: string | undefined;
	timeLeft: string | undefined;
	/** Undefined unless there is exactly one. */
	workspaceKey: string | undefined;
	/** Whether a body follows (RFC 9112, section 6.3). */
	hasBody: boolean;
	/** Whether a name contains a space, which llhttp 8.1.2 (Node 20.19) accepts; other readers take a part of it for the name. */
	hasInvalidName: boolean;
	/** Headers to forward, names and values alternating. */
	endToEnd: string[];
};

/** A colon, a space and a line end; names and values are Latin-1. */
const separatorBytes = 4;

/** Returns a function that reads the headers, names and values alternating. */
export function createCallerHeaderReader(
	names: HeaderNames,
): (headers: string[], hasWorkspaces: boolean) => CallerHeaders {
	/** Headers that only nodes set. */
	const nodeHeaders = new Set([
		names.callerService,
		names.expectedTarget,
		names.timeLeft,
		names.workspace,
	]);

	return (headers, hasWorkspaces) => {
		let size = 0;
		let requestId: string | undefined;
		let host: string | undefined;
		let timeLeft: string | undefined;
		let workspaceKey: string | undefined;
		let keys = 0;
		let hasBody = false;
		let hasInvalidName = false;
		let named: Set<string> | undefined;
		const endToEnd: string[] = [];
		for (let index = 0; index < headers.length; index += 2) {
			const name = headers[index]!.toLowerCase();
			const value = headers[index + 1]!;
			size += name.length + value.length + separatorBytes;
			hasInvalidName ||= name.includes(' ');
			if (isConnectionHeader(name)) {
				if (name === 'connection') {
					named = listNamed(value, named);
				} else if (name === 'content-length' || name === 'transfer-encoding') {
					hasBody = true;
				}

				continue;
			}

			switch (name) {
				case names.requestId: {
					requestId ??= value;

					break;
				}

				case 'host': {
					host ??= value;

					break;
				}

				case names.timeLeft: {
					timeLeft ??= value;

					break;
				}

				case names.workspaceKey: {
					keys++;
					workspaceKey = keys === 1 ? value : undefined;
					// Without workspaces, a key header belongs to the application and is forwarded.
					if (hasWorkspaces) {
						continue;
					}

					break;
				}
				// No default
			}

			if (!nodeHeaders.has(name)) {
				endToEnd.push(headers[index]!, value);
			}
		}

		return {
			size,
			requestId: requestId ?? '',
			host,
			timeLeft,
			workspaceKey,
			hasBody,
			hasInvalidName,
			endToEnd: named ? dropNamed(endToEnd, named) : endToEnd,
		};
	};
}
