/** One attempt of a caller at a node, over a connection that closes when either side ends. */
import type {CallerOutcome, CallerRequest} from '@egretspoke/node';
import {sleep, type Clock} from '@egretspoke/shared';
import type {FakeProcess} from './fake-node.js';

/** The deadline that callers send, and how much longer they wait, in milliseconds. */
export const callerTimeouts = {deadline: 800, grace: 150};

const oneWayDelayMs = 1;

/** Sends a request; resolves with undefined when the node is down or the caller's timeout expires. */
export async function exchange(
	clock: Clock,
	process: FakeProcess | undefined,
	incoming: CallerRequest,
): Promise<CallerOutcome | undefined> {
	await sleep(clock, oneWayDelayMs);
	if (!process || process.execution.state() === 'dead') {
		return undefined;
	}

	const {execution, core} = process;
	const callerAbort = new AbortController();
	return new Promise((resolve) => {
		const timer = clock.setTimer(
			callerTimeouts.deadline + callerTimeouts.grace,
			() => {
				execution.run(() => {
					callerAbort.abort();
				});
				resolve(undefined);
			},
		);
		const answer = async () => {
			const outcome = await core.entry.handle(incoming, callerAbort.signal);
			await execution.hold(Promise.resolve());
			await sleep(clock, oneWayDelayMs);
			timer.cancel();
			resolve(outcome);
		};

		execution.run(() => {
			void answer();
		});
	});
}
