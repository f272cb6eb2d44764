/** One attempt of a caller at a node, over a connection that ends with either. */
import type {CallerOutcome, CallerRequest} from '@egretspoke/node';
import {sleep, type Clock} from '@egretspoke/shared';
import type {FakeProcess} from './fake-node.js';

/** Milliseconds that callers grant, and how much longer they wait. */
export const patience = {deadline: 800, grace: 150};

const oneWay = 1;

/** Undefined when no answer came before the caller gave up. */
export async function exchange(
	clock: Clock,
	process: FakeProcess | undefined,
	incoming: CallerRequest,
): Promise<CallerOutcome | undefined> {
	await sleep(clock, oneWay);
	if (!process || process.gate.state() === 'dead') {
		return undefined;
	}

	const {gate, core} = process;
	const patienceEnd = new AbortController();
	return new Promise((resolve) => {
		const timer = clock.setTimer(patience.deadline + patience.grace, () => {
			gate.run(() => {
				patienceEnd.abort();
			});
			resolve(undefined);
		});
		const answer = async () => {
			const outcome = await core.entry.handle(incoming, patienceEnd.signal);
			await gate.hold(Promise.resolve());
			await sleep(clock, oneWay);
			timer.cancel();
			resolve(outcome);
		};

		gate.run(() => {
			void answer();
		});
	});
}
