/** The type of an entry of the event table. */

/** Log levels as named by loglevel, in ascending order. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error'] as const;

/** The severity of an event. */
export type LogLevel = (typeof logLevels)[number];

/** One numbered event. Codes are never reused with another meaning. */
export type EventDefinition = {
	code: number;
	level: LogLevel;
	/**
	 * `decision` is about one request: sampled in the log and stored for
	 * `explain`. `notice` is about the node: never sampled, so logged whenever
	 * its level is enabled.
	 */
	kind: 'decision' | 'notice';
	/**
	 * Marks decisions that operators are likely to look up. They are stored
	 * separately, so that the many ordinary ones do not evict them.
	 */
	isNotable?: boolean;
	/** The message; `{name}` is the placeholder of a detail. */
	template: string;
	/** What the event means, for the catalogue page. */
	meaning: string;
	/** What an operator should do, for the catalogue page. */
	advice: string;
};
