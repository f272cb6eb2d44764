/** The shape of a row of the event table. */

/** The levels of a line, as loglevel names them. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error'] as const;

/** How much a line matters. */
export type LogLevel = (typeof logLevels)[number];

/** One numbered event. Numbers are never given a second meaning. */
export type EventDefinition = {
	code: number;
	level: LogLevel;
	/**
	 * `decision` is about one request: sampled in the log, and remembered for
	 * `explain`. `notice` is about the node: always logged when its level is.
	 */
	kind: 'decision' | 'notice';
	/**
	 * Decisions that somebody is likely to ask about are remembered apart, so
	 * that the many ordinary ones don't push them out.
	 */
	isNotable?: boolean;
	/** The line's text; `{name}` stands for a detail. */
	template: string;
	/** What it means, for the catalogue page. */
	meaning: string;
	/** What whoever is on call does about it. */
	advice: string;
};
