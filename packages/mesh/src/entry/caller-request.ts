/** Requests of callers and their final answers. */
import type {BodyHold} from '../decisions/memory/memory-budget.js';
import type {TargetAnswer} from '../links/exchange.js';

/** A request of a caller. */
export type CallerRequest = {
	requestId: string;
	method: string;
	host: string;
	/** Includes the query. */
	path: string;
	/** End-to-end headers, forwarded unchanged. */
	headers: string[];
	body: Uint8Array | undefined;
	/** The memory of the body. */
	bodyHold: BodyHold | undefined;
	/** The key of its workspace; undefined unless it has exactly one. */
	workspaceKey: string | undefined;
	/** Arrival time, on the clock. */
	arrivedAt: number;
	/** The caller's timeout in milliseconds, from the arrival of the request. */
	timeLeft: number | undefined;
};

/** An answer that the node itself generated. */
export type OwnAnswer = {
	kind: 'own';
	status: 401 | 404 | 429 | 502 | 503 | 504;
	reason: string;
	/** Milliseconds after which the caller should retry. */
	retryAfter?: number;
};

/** The answer that a caller receives. */
export type FinalAnswer = ({kind: 'target'} & TargetAnswer) | OwnAnswer;
