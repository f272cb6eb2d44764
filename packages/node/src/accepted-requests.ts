/** The accepted requests of callers until their answers have been sent, so that a stop can wait for them or give them up. */
import type {IncomingMessage} from 'node:http';
import {
	createNotRunOutcome,
	createRefusal,
	createUnknownOutcome,
	ErrorCode,
	headerNames,
	type Outcome,
} from '@egretspoke/protocol';
import type {CallerExchange, Clock} from '@egretspoke/shared';
import type {CallerOutcome} from './caller-request.js';

/** The accepted requests. */
export type AcceptedRequests = {
	add(request: IncomingMessage, exchange: CallerExchange): AcceptedRequest;
	/** Whether the answer to each request that was passed on has been sent, or its caller has gone. */
	areSent(): boolean;
	/** Gives up what still runs, and returns it. */
	giveUp(): AcceptedRequest[];
};

/** An accepted request. */
export type AcceptedRequest = {
	/** Runs the request; the signal aborts when its caller has gone or the request is given up. */
	run(
		work: (signal: AbortSignal) => Promise<CallerOutcome>,
	): Promise<CallerOutcome>;
	/** Called when its answer is being written. */
	answer(): void;
	isSent(): boolean;
};

type OpenRequest = {
	accepted: AcceptedRequest;
	isPassedOn: boolean;
	isAnswered: boolean;
	giveUp(): void;
};

/** Creates the table, without requests. */
export function createAcceptedRequests(clock: Clock): AcceptedRequests {
	const open = new Set<OpenRequest>();

	return {
		add(request, exchange) {
			const gone = new AbortController();
			let giveUp: (outcome: CallerOutcome) => void = () => undefined;
			let isGivenUp = false;

			const accepted: AcceptedRequest = {
				async run(work) {
					const givenUp = new Promise<CallerOutcome>((resolve) => {
						giveUp = resolve;
					});
					entry.isPassedOn = true;
					const outcome = await Promise.race([work(gone.signal), givenUp]);
					return isGivenUp ? describeGivenUp(outcome) : outcome;
				},
				answer() {
					entry.isAnswered = true;
					exchange.answer();
					exchange.whenLeft(() => {
						open.delete(entry);
					});
				},
				isSent: () => !open.has(entry),
			};
			const entry: OpenRequest = {
				accepted,
				isPassedOn: false,
				isAnswered: false,
				giveUp() {
					isGivenUp = true;
					gone.abort();
					// Work that can prove that it has not run ends within this turn.
					clock.setTimer(0, () => {
						giveUp({
							request: String(request.headers[headerNames.request] ?? 'none'),
							outcome: createUnknownOutcome(
								createRefusal(ErrorCode.AnswerLost),
							),
						});
					});
				},
			};
			open.add(entry);
			exchange.whenLeft(() => {
				open.delete(entry);
				gone.abort();
			});
			exchange.response.once('finish', () => {
				open.delete(entry);
			});
			return accepted;
		},
		areSent: () => [...open].every(({isPassedOn}) => !isPassedOn),
		giveUp() {
			const running = [...open].filter(
				({isPassedOn, isAnswered}) => isPassedOn && !isAnswered,
			);
			for (const each of running) {
				each.giveUp();
			}

			return running.map(({accepted}) => accepted);
		},
	};
}

/** Names the stop as the reason, in place of a caller that has gone. */
function describeGivenUp(caller: CallerOutcome): CallerOutcome {
	const {outcome} = caller;
	const describe = descriptions[outcome.kind] as (outcome: Outcome) => Outcome;
	return {...caller, outcome: describe(outcome)};
}

type Descriptions = {
	[Kind in Outcome['kind']]: (
		outcome: Extract<Outcome, {kind: Kind}>,
	) => Outcome;
};

const descriptions: Descriptions = {
	answered: (outcome) => outcome,
	notRun: ({proof}) =>
		createNotRunOutcome(
			proof,
			createRefusal(ErrorCode.Leaving, {retryAfter: 0}),
		),
	unknown: () => createUnknownOutcome(createRefusal(ErrorCode.AnswerLost)),
};
