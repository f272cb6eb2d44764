/** The events of one test run, as observed from outside the code under test. */

/** An attempt is one transmission by a caller; the key identifies its request. */
type OfAttempt = {attempt: string; key: string};

/** The input of the checkers. */
export type HistoryEvent =
	/** A caller sent an attempt; `expected` is the digest of its correct response. */
	| ({kind: 'submitted'; expected: string} & OfAttempt)
	/** A node forwarded the request to a target. */
	| ({kind: 'handedOver'; node: string} & OfAttempt)
	/** The target began to run the request; it may have an effect from then on. */
	| ({kind: 'ran'; target: string; idempotent?: boolean} & OfAttempt)
	/** The caller received a response; `digest` covers its bytes. */
	| ({kind: 'answered'; digest: string} & OfAttempt)
	/** The caller received the error that the request was not run. */
	| ({kind: 'refused'; code: number} & OfAttempt)
	/** The caller received the error that the outcome is unknown. */
	| ({kind: 'unknown'; code: number} & OfAttempt)
	/** A node put a configuration in force. */
	| {
			kind: 'versionTaken';
			node: string;
			incarnation: number;
			version: number;
	  };

/** An event and its time on the run's clock, in milliseconds. */
export type RecordedEvent = HistoryEvent & {at: number};
