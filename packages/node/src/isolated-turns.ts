/** Serializes the calls that may crash their target: only one of them runs at a time. */
import {createIsolation} from '@egretspoke/quarantine';

/** A granted turn. */
export type IsolatedTurn = {leave(): void};

/** The turns at one target. */
export type IsolatedTurns = {
	/** Resolves with the turn, or with undefined once the signal aborts. */
	enter(signal: AbortSignal): Promise<IsolatedTurn | undefined>;
};

type Waiter = {wake: () => void};

/** Creates the turns of an idle target. */
export function createIsolatedTurns(): IsolatedTurns {
	const isolation = createIsolation<Waiter>();

	const leave = (item: Waiter) => {
		const next = isolation.leave(item);
		if (next) {
			isolation.enter(next);
			next.wake();
		}
	};

	return {
		enter: async (signal) =>
			new Promise((resolve) => {
				const turn = {
					leave() {
						leave(item);
					},
				};
				const onAbort = () => {
					if (isolation.withdraw(item)) {
						resolve(undefined);
					}
				};

				const item: Waiter = {
					wake() {
						signal.removeEventListener('abort', onAbort);
						resolve(turn);
					},
				};
				if (isolation.enter(item)) {
					resolve(turn);
				} else {
					signal.addEventListener('abort', onAbort);
				}
			}),
	};
}
