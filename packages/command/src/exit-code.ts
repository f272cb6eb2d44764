/** How the program ends; part of its interface, for scripts. */
export const exitCodes = {
	/** Done as asked. */
	done: 0,
	/** Refused, with findings or the reason; nothing took effect. */
	refused: 1,
	/** The command line can't be understood. */
	usage: 2,
	/** Nobody knows yet whether it took effect; the output says what settles it. */
	unknown: 3,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
