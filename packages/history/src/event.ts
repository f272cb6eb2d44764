/** What happened in one run of a test, as seen from outside the code under test. */

/** An attempt is one send of a caller; a key stands for the request behind it. */
type OfAttempt = {attempt: string; key: string};

/** Everything that the checkers read. */
export type HistoryEvent =
	/** A caller sent an attempt; the digest is of the answer that fits it. */
	| ({kind: 'submitted'; expected: string} & OfAttempt)
	/** A node gave the request to a target. */
	| ({kind: 'handedOver'; node: string} & OfAttempt)
	/** The target began to run it, and from there its effect may show. */
	| ({kind: 'ran'; target: string; idempotent?: boolean} & OfAttempt)
	/** The caller got an answer; the digest is of its bytes. */
	| ({kind: 'answered'; digest: string} & OfAttempt)
	/** The caller was told that it was not run. */
	| ({kind: 'refused'; code: number} & OfAttempt)
	/** The caller was told that nobody knows. */
	| ({kind: 'unknown'; code: number} & OfAttempt)
	/** A node put a configuration into force. */
	| {
			kind: 'versionTaken';
			node: string;
			incarnation: number;
			version: number;
	  };

/** An event with its instant on the run's clock, in milliseconds. */
export type RecordedEvent = HistoryEvent & {at: number};
