/** A simulated target with a number of slots and injected faults; records the requests that it runs. */
import type {CallRequest} from '@egretspoke/protocol';
import type {Recorder} from '@egretspoke/history';
import type {TargetClient, TargetResult} from '@egretspoke/node';
import {sleep, type Clock, type Random} from '@egretspoke/shared';
import {readMark, writeAnswerBody} from './request-mark.js';

/** Injected faults; ratios of requests from 0 to 1 unless stated otherwise. */
export type TargetFaults = {
	/** Factor on the duration of requests. */
	slowness: number;
	shed: number;
	unreachable: number;
	lost: number;
	cut: number;
	/** Requests with this path crash the target. */
	crashPath?: string;
};

/** A target and its faults. */
export type FakeTarget = {
	client: TargetClient;
	faults: TargetFaults;
	/** Ends all running requests without an answer. */
	killRunning(): void;
};

/** The faults of a healthy target. */
export const noTargetFaults: TargetFaults = {
	slowness: 1,
	shed: 0,
	unreachable: 0,
	lost: 0,
	cut: 0,
};

const connectDelayMs = 0.3;
/** Time until a crashed target listens again. */
const restartDelayMs = 1500;
/** Range of a healthy target's durations in milliseconds. */
const run = {minDuration: 2, maxDuration: 40};

/** Creates a healthy target. */
export function createFakeTarget(options: {
	name: string;
	slots: number;
	clock: Clock;
	random: Random;
	recorder: Recorder;
}): FakeTarget {
	const {name, slots, clock, random, recorder} = options;
	const faults = {...noTargetFaults};
	let killController = new AbortController();
	let running = 0;
	let isDown = false;

	const drawFault = (share: number) => random.fraction() < share;

	const runRequest = async (
		request: CallRequest,
		signal: AbortSignal,
	): Promise<TargetResult> => {
		const mark = readMark(request.headers);
		const stop = AbortSignal.any([signal, killController.signal]);
		const isCut = drawFault(faults.cut);
		const isLost = drawFault(faults.lost);
		recorder.record({
			kind: 'ran',
			...mark,
			target: name,
			idempotent: request.idempotent,
		});
		if (request.path === faults.crashPath) {
			clock.setTimer(run.minDuration, crash);
		}

		running++;
		const duration =
			run.minDuration + random.fraction() * (run.maxDuration - run.minDuration);
		await sleep(clock, duration * faults.slowness, stop);
		running--;
		if (stop.aborted || isLost) {
			return {kind: 'lost', detail: 'the connection broke'};
		}

		return isCut
			? {kind: 'cut', detail: 'the body is short'}
			: {
					kind: 'answer',
					answer: {
						status: 200,
						headers: {},
						body: writeAnswerBody(mark.key),
					},
				};
	};

	const killRunning = () => {
		killController.abort();
		killController = new AbortController();
	};

	const crash = () => {
		isDown = true;
		killRunning();
		clock.setTimer(restartDelayMs, () => {
			isDown = false;
		});
	};

	return {
		faults,
		client: {
			isListening: async () => !isDown,
			async send(request, _timeLeft, signal) {
				const mark = readMark(request.headers);
				recorder.record({kind: 'handedOver', ...mark, node: name});
				await sleep(clock, connectDelayMs);
				if (isDown || drawFault(faults.unreachable)) {
					return {kind: 'unreachable', detail: 'refused'};
				}

				if (running >= slots || drawFault(faults.shed)) {
					return {kind: 'shed'};
				}

				return runRequest(request, signal);
			},
		},
		killRunning,
	};
}
