/**
 * Holds the requests that wait for admission. The admission policy decides; the
 * queue calls it when its next decision is due, and settles the waiting
 * requests.
 */
import type {
	AdmissionPolicy,
	QueueDecision,
	CallFacts,
} from '@egretspoke/decisions';
import {ErrorCode} from '@egretspoke/protocol';
import type {Clock, Timer} from '@egretspoke/shared';

/** The waiting requests of one target. */
export type AdmissionWaiters = {
	/**
	 * Resolves with the decision on the request. A request whose caller gives up
	 * is withdrawn.
	 */
	wait(facts: CallFacts, signal: AbortSignal): Promise<QueueDecision>;
	/**
	 * Settles every request whose decision is due; to be called when a slot is
	 * free.
	 */
	settleDue(): void;
	/** Drains the admission and settles every waiting request. */
	drain(): void;
};

/** Creates an empty queue over an admission. */
export function createAdmissionWaiters(
	clock: Clock,
	admission: AdmissionPolicy,
): AdmissionWaiters {
	const waiting = new Map<string, (decision: QueueDecision) => void>();
	let wakeTimer: Timer | undefined;

	const settleAll = (decisions: QueueDecision[]) => {
		for (const decision of decisions) {
			const settle = waiting.get(decision.id);
			waiting.delete(decision.id);
			settle?.(decision);
		}

		scheduleWake();
	};

	const settleDueRequests = () => {
		settleAll(admission.processQueue(clock.now()));
	};

	const scheduleWake = () => {
		wakeTimer?.cancel();
		const at = admission.wakeAt();
		wakeTimer =
			at === undefined
				? undefined
				: clock.setTimer(Math.max(0, at - clock.now()), settleDueRequests);
	};

	return {
		async wait({id}, signal) {
			return new Promise((resolve) => {
				const settle = (decision: QueueDecision) => {
					signal.removeEventListener('abort', onAbort);
					resolve(decision);
				};

				const onAbort = () => {
					if (waiting.delete(id)) {
						admission.withdraw(id, clock.now());
						scheduleWake();
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
				signal.addEventListener('abort', onAbort);
				scheduleWake();
			});
		},
		settleDue: settleDueRequests,
		drain() {
			settleAll(admission.drain(clock.now()));
		},
	};
}
