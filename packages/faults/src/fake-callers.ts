/** Callers that send requests, time out, and retry with the same key and home. */
import type {Home, Outcome} from '@egretspoke/protocol';
import {digestBody, type Recorder} from '@egretspoke/history';
import type {CallerOutcome, CallerRequest} from '@egretspoke/node';
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import {exchange, callerTimeouts} from './caller-exchange.js';
import {fakeService, maxKeyLifetimeMs, type FakeProcess} from './fake-node.js';
import {writeAnswerBody, writeMark} from './request-mark.js';

/** The callers of one run. */
export type FakeCallers = {
	/** Sends one request with all its retries; resolves when the caller stops. */
	send(number: number): Promise<void>;
	counts(): CallerCounts;
};

/** Counts of attempts and of their outcomes at the callers. */
export type CallerCounts = {
	attempts: number;
	answered: number;
	notRun: number;
	unknown: number;
	/** No answer: the connection broke, or the caller timed out. */
	lost: number;
};

type Request = {key: string; expiry: number; isRepeatable: boolean};

const maxRepeats = 6;

/** Creates callers that send each attempt to a random running process. */
export function createFakeCallers(options: {
	clock: Clock;
	random: Random;
	recorder: Recorder;
	processes(): FakeProcess[];
}): FakeCallers {
	const {clock, random, recorder} = options;
	const counts = {attempts: 0, answered: 0, notRun: 0, unknown: 0, lost: 0};

	const attempt = async (
		request: Request,
		home: Home | undefined,
	): Promise<CallerOutcome | undefined> => {
		const processes = options.processes();
		const process = processes[random.below(processes.length)];
		const mark = {
			attempt: `${request.key}.${counts.attempts++}`,
			key: request.key,
		};
		const expected = digestBody(writeAnswerBody(request.key));
		recorder.record({kind: 'submitted', ...mark, expected});
		const incoming: CallerRequest = {
			service: fakeService,
			method: request.isRepeatable ? 'GET' : 'POST',
			path: '/bookings',
			headers: writeMark(mark),
			body: new TextEncoder().encode(request.key),
			caller: `caller-${request.key.length % 3}`,
			timeLeft: callerTimeouts.deadline,
			...(!request.isRepeatable && {
				key: request.key,
				keyExpiry: request.expiry,
			}),
			...(home && {home}),
		};
		const result = await exchange(clock, process, incoming);
		if (result) {
			recordOutcome(mark, result.outcome);
		} else {
			counts.lost++;
		}

		return result;
	};

	const recordOutcome = (
		mark: {attempt: string; key: string},
		outcome: Outcome,
	): void => {
		counts[outcome.kind]++;
		if (outcome.kind === 'answered') {
			const digest = digestBody(outcome.answer.body);
			recorder.record({kind: 'answered', ...mark, digest});
			return;
		}

		const {code} = outcome.refusal;
		const kind = outcome.kind === 'notRun' ? 'refused' : 'unknown';
		recorder.record({kind, ...mark, code});
	};

	/** Sends the request to one node, or in one of four cases to up to three nodes at once. */
	const attemptCopies = async (request: Request, home: Home | undefined) => {
		const copies = random.below(4) === 0 ? 1 + random.below(3) : 1;
		const results = await Promise.all(
			Array.from({length: copies}, async () => attempt(request, home)),
		);
		return (
			results.find((result) => result?.outcome.kind === 'answered') ??
			results[0]
		);
	};

	return {
		async send(number) {
			const lifetime = 500 + random.below(maxKeyLifetimeMs / 10);
			const request = {
				key: `request-${number}`,
				expiry: clock.date().getTime() + lifetime,
				isRepeatable: random.below(4) === 0,
			};
			let home: Home | undefined;
			for (let repeat = 0; repeat < maxRepeats; repeat++) {
				// eslint-disable-next-line no-await-in-loop -- retries are sequential.
				const result = await attemptCopies(request, home);
				home ??= result?.home;
				const isDone = result?.outcome.kind === 'answered';
				if (isDone && random.below(10) > 0) {
					return;
				}

				// eslint-disable-next-line no-await-in-loop -- delay between retries.
				await sleep(clock, random.below(600));
			}
		},
		counts: () => ({...counts}),
	};
}
