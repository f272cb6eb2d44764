/** A simulated world whose faults the test injects, instead of a seed. */
import {checkHistory, createRecorder, digestBody} from '@egretspoke/history';
import type {CallerOutcome, CallerRequest} from '@egretspoke/node';
import {ErrorCode, type Home} from '@egretspoke/protocol';
import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {exchange, callerTimeouts} from '../src/caller-exchange.js';
import {fakeService} from '../src/fake-node.js';
import {createFakeWorld} from '../src/fake-world.js';
import {handlers, type HandlerName} from '../src/handlers.js';
import {writeAnswerBody, writeMark} from '../src/request-mark.js';

export type PendingAttempt = Promise<CallerOutcome | undefined>;

/** Creates four connected nodes, `vm-0` to `vm-3`. */
export async function createTestCluster(
	options: {slots?: number; ledgerKeys?: number; handler?: HandlerName} = {},
) {
	const {slots = 4, ledgerKeys = 1000, handler = 'egretspoke'} = options;
	const clock = createVirtualClock();
	const recorder = createRecorder(clock);
	const world = createFakeWorld({
		clock,
		random: createRandom(1),
		recorder,
		handlers: handlers[handler],
		sizes: {slots, ledgerKeys},
	});
	await clock.runTo(3000);
	let attempts = 0;

	const homeAt = (name: string): Home => ({
		node: name,
		incarnation: world.findProcess(name)!.control.membership.self().incarnation,
	});

	/** Sends a payment; its entry and its home default to `vm-0`. */
	const send = async (
		key: string,
		overrides: Partial<CallerRequest> & {entry?: string} = {},
	): PendingAttempt => {
		const {entry = 'vm-0', ...fields} = overrides;
		const mark = {attempt: `${key}.${attempts++}`, key};
		const expected = digestBody(writeAnswerBody(key));
		recorder.record({kind: 'submitted', ...mark, expected});
		const result = await exchange(clock, world.findProcess(entry), {
			service: fakeService,
			method: 'POST',
			path: '/payments',
			headers: writeMark(mark),
			body: new TextEncoder().encode(key),
			caller: 'boat',
			timeLeft: callerTimeouts.deadline,
			key,
			keyExpiry: clock.date().getTime() + 20_000,
			home: homeAt('vm-0'),
			...fields,
		});
		if (result?.outcome.kind === 'notRun') {
			const {code} = result.outcome.refusal;
			recorder.record({kind: 'refused', ...mark, code});
		}

		return result;
	};

	const wait = async (duration: number) => clock.runTo(clock.now() + duration);

	return {
		clock,
		world,
		send,
		wait,
		homeAt,
		/** Sends, and advances the clock until the attempt has ended. */
		async sendAndWait(...given: Parameters<typeof send>) {
			const sent = send(...given);
			await wait(callerTimeouts.deadline + callerTimeouts.grace + 10);
			return sent;
		},
		setTargets(overrides: Partial<(typeof world.targets)[number]['faults']>) {
			for (const {faults} of world.targets) {
				Object.assign(faults, overrides);
			}
		},
		countRuns: (key: string) =>
			recorder
				.history()
				.filter((event) => event.kind === 'ran' && event.key === key).length,
		violations: () => checkHistory(recorder.history()),
	};
}

export type TestCluster = Awaited<ReturnType<typeof createTestCluster>>;

/** Formats an outcome as `answered`, or as its kind and error code. */
export function describeOutcome(result: CallerOutcome | undefined): string {
	if (!result) {
		return 'no answer';
	}

	const {outcome} = result;
	return outcome.kind === 'answered'
		? `answered${outcome.repeated ? ' again' : ''}`
		: `${outcome.kind} ${ErrorCode[outcome.refusal.code]}`;
}
