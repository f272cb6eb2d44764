/** Exit codes; part of the public interface, for scripts. */
export const exitCodes = {
	/** Completed as requested. */
	done: 0,
	/** Refused, with findings or the reason; nothing took effect. */
	refused: 1,
	/** The command line is invalid. */
	usage: 2,
	/** It is unknown whether the command took effect; the output contains the command that resolves this. */
	unknown: 3,
} as const;

/** An exit code. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
