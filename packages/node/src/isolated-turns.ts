/** The turns of calls that may crash their target: one of them runs at a time. */
import {createIsolation} from '@egretspoke/quarantine';

/** A turn that was given. */
export type IsolatedTurn = {leave(): void};

/** The turns at one target. */
export type IsolatedTurns = {
	/** Resolves with the turn; with nothing once the signal aborts. */
	enter(signal: AbortSignal): Promise<IsolatedTurn | undefined>;
};

type Waiting = {wake: () => void};

/** Creates the turns; the first is free. */
export function createIsolatedTurns(): IsolatedTurns {
	const isolation = createIsolation<Waiting>();

	const leave = (item: Waiting) => {
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
				const giveUp = () => {
					if (isolation.withdraw(item)) {
						resolve(undefined);
					}
				};

				const item: Waiting = {
					wake() {
						signal.removeEventListener('abort', giveUp);
						resolve(turn);
					},
				};
				if (isolation.enter(item)) {
					resolve(turn);
				} else {
					signal.addEventListener('abort', giveUp);
				}
			}),
	};
}
