/**
 * The requests that wait for the admission's word. The admission decides; this
 * wakes it when it asks to be woken, and tells each request its turn.
 */
import type {
	AdmissionPolicy,
	QueueDecision,
	CallFacts,
} from '@egretspoke/decisions';
import {ErrorCode} from '@egretspoke/protocol';
import type {Clock, Timer} from '@egretspoke/shared';

/** The waiting requests of one target. */
export type TurnQueue = {
	/** Resolves with the request's turn; a caller that gives up takes it back. */
	wait(facts: CallFacts, signal: AbortSignal): Promise<QueueDecision>;
	/** Tells every turn that is due; to be called when a slot is free. */
	takeTurns(): void;
	/** Hands back everything that waits. */
	drain(): void;
};

/** Creates an empty queue over an admission. */
export function createTurnQueue(
	clock: Clock,
	admission: AdmissionPolicy,
): TurnQueue {
	const waiting = new Map<string, (turn: QueueDecision) => void>();
	let wake: Timer | undefined;

	const settleAll = (turns: QueueDecision[]) => {
		for (const turn of turns) {
			const settle = waiting.get(turn.id);
			waiting.delete(turn.id);
			settle?.(turn);
		}

		setWake();
	};

	const takeTurns = () => {
		settleAll(admission.processQueue(clock.now()));
	};

	const setWake = () => {
		wake?.cancel();
		const at = admission.wakeAt();
		wake =
			at === undefined
				? undefined
				: clock.setTimer(Math.max(0, at - clock.now()), takeTurns);
	};

	return {
		async wait({id}, signal) {
			return new Promise((resolve) => {
				const settle = (turn: QueueDecision) => {
					signal.removeEventListener('abort', giveUp);
					resolve(turn);
				};

				const giveUp = () => {
					if (waiting.delete(id)) {
						admission.withdraw(id, clock.now());
						setWake();
						settle({
							id,
							kind: 'refuse',
							code: ErrorCode.CallerGone,
							reason: 'the caller gave up while it waited',
							retryAfter: 0,
						});
					}
				};

				waiting.set(id, settle);
				signal.addEventListener('abort', giveUp);
				setWake();
			});
		},
		takeTurns,
		drain() {
			settleAll(admission.drain(clock.now()));
		},
	};
}
