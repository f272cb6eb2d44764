/** The interface of the core to the local target. */
import type {Answer, CallRequest} from '@egretspoke/protocol';

/** How one exchange with the target ended. */
export type TargetResult =
	| {kind: 'answer'; answer: Answer}
	/** The target certified that it did not run the request. */
	| {kind: 'shed'; retryAfter?: number}
	/** No connection was made, so nothing was handed over. */
	| {kind: 'unreachable'; detail: string}
	/** The request was handed over, but no whole answer was received. */
	| {kind: 'lost'; detail: string}
	| {kind: 'cut'; detail: string};

/** Sends requests to the target. */
export type TargetClient = {
	/** Always resolves; an aborted exchange that was handed over is `lost`. */
	send(
		request: CallRequest,
		timeLeft: number,
		signal: AbortSignal,
	): Promise<TargetResult>;
	/** Whether the target accepts connections; true when that cannot be determined. */
	isListening(): Promise<boolean>;
};
