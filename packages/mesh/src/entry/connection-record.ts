/** What a node knows of one connection of a caller, to tell why requests on it ended without an answer. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Why a connection ended: the caller closed it or the network did, an answer
 * announced its end, what arrived on it was no request, the node ended, or the
 * node closed it for another reason.
 */
export type CloseCause =
	'caller' | 'closingAnswer' | 'malformedRequest' | 'stop' | 'node';

/** Requests that ended with their connection. */
export type CutRequests = {
	cause: CloseCause;
	/** Requests whose answer was not sent completely. */
	requests: number;
	/** Those of them that had been answered. */
	answered: number;
};

/** A connection of a caller. */
export class ConnectionRecord {
	/** How to tell the entry that the caller has left, for each request without an answer. */
	readonly unanswered = new Map<ServerResponse, () => void>();
	private readonly unsent = new Set<ServerResponse>();
	private cause: CloseCause | undefined = undefined;
	private isReported = false;

	constructor(private readonly socket: Socket) {
		socket.once('end', () => {
			this.setCause('caller');
		});
		socket.once('error', () => {
			this.setCause('caller');
		});
	}

	/** Counts a request until its answer has been sent. */
	add(response: ServerResponse): void {
		this.unsent.add(response);
		response.once('finish', () => {
			// Node also reports the end of an answer that a destroyed connection dropped.
			if (!this.socket.destroyed) {
				this.unsent.delete(response);
			}
		});
	}

	/** Sets why the connection ends, unless it is known. */
	setCause(cause: CloseCause): void {
		this.cause ??= cause;
	}

	/** Returns what an end of the connection now cuts, once; undefined if it cuts nothing or the caller closed it. */
	describeCut(): CutRequests | undefined {
		const cause = this.cause ?? 'node';
		const requests = this.unsent.size;
		if (this.isReported || cause === 'caller' || requests === 0) {
			return undefined;
		}

		this.isReported = true;
		return {cause, requests, answered: requests - this.unanswered.size};
	}
}
