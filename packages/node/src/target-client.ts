/** The target beside the node, as the node's core sees it. */
import type {Answer, CallRequest} from '@egretspoke/protocol';

/** How one exchange with the target ended. */
export type TargetResult =
	| {kind: 'answer'; answer: Answer}
	/** The target certified that it did not run the request. */
	| {kind: 'shed'; retryAfter?: number}
	/** No connection was made, so nothing was handed over. */
	| {kind: 'unreachable'; detail: string}
	/** It was handed over, and no whole answer came back. */
	| {kind: 'lost'; detail: string}
	| {kind: 'cut'; detail: string};

/** Sends requests to the target. */
export type TargetClient = {
	/** Resolves always; an aborted exchange that was handed over is `lost`. */
	send(
		request: CallRequest,
		timeLeft: number,
		signal: AbortSignal,
	): Promise<TargetResult>;
	/** Whether the target takes connections; true when that can't be told. */
	isListening(): Promise<boolean>;
};
