/** The ways in which a home may handle a key, for the proof that the checks can fail. */
import {attemptAtMostOnce, type AttemptHandler} from '@egretspoke/ledger';
import {
	acceptCertifiedRefusal,
	createHandOverTicket,
	createRefusal,
	ErrorCode,
	refuseNotRun,
	type Outcome,
} from '@egretspoke/protocol';

/** The names of the handlers. */
export const attemptHandlerNames = ['atMostOnce', 'naive'] as const;

export type AttemptHandlerName = (typeof attemptHandlerNames)[number];

/** The handlers by name; only `atMostOnce` is meant for use. */
export const attemptHandlers: Record<AttemptHandlerName, AttemptHandler> = {
	atMostOnce: attemptAtMostOnce,
	naive: attemptNaively,
};

const naiveAttempts = 3;

/**
 * No ledger, three tries whatever came back, and a timeout that counts as
 * "not run": what a service does that trusts its own clock.
 */
async function attemptNaively(
	options: Parameters<AttemptHandler>[0],
): Promise<Outcome> {
	for (let number = 1; ; number++) {
		const ticket = {...createHandOverTicket(), obstacle: () => undefined};
		const {signal} = options;
		// eslint-disable-next-line no-await-in-loop -- one try after another.
		const outcome = await options.dispatch({number, ticket, signal});
		if (outcome.kind === 'answered') {
			return outcome;
		}

		if (number === naiveAttempts || options.clock.now() >= options.deadline) {
			return refuseNotRun(
				acceptCertifiedRefusal('peer'),
				createRefusal(ErrorCode.DeadlinePassed),
			);
		}
	}
}
