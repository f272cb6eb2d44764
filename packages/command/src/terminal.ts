/** The terminal that the program uses, as an interface that tests can replace. */
import process from 'node:process';
import {Chalk, type ChalkInstance} from 'chalk';

/** The environment variables that the program reads. */
export const environmentNames = {
	node: 'EGRETSPOKE_NODE',
	secret: 'EGRETSPOKE_SECRET',
	noColour: 'NO_COLOR',
} as const;

/** Output, environment and colours. */
export type Terminal = {
	/** Whether progress can be displayed and erased. */
	canShowProgress: boolean;
	/** Colours for results; plain text when standard output is not a terminal. */
	colour: ChalkInstance;
	environment: Readonly<Partial<Record<string, string>>>;
	/** Writes results. */
	write(text: string): void;
	/** Writes messages that are not results: findings, progress, advice. */
	writeError(text: string): void;
};

/** Creates the terminal of this process; colours require a TTY and no NO_COLOR variable. */
export function createProcessTerminal(): Terminal {
	const {stdout, stderr, env} = process;
	const hasColour =
		stdout.isTTY &&
		(env[environmentNames.noColour] ?? '') === '' &&
		env.TERM !== 'dumb';
	return {
		write(text) {
			stdout.write(text);
		},
		writeError(text) {
			stderr.write(text);
		},
		canShowProgress: stderr.isTTY,
		colour: createColour(hasColour),
		environment: env,
	};
}

/** Creates a colour formatter that returns plain text if `hasColour` is false. */
export function createColour(hasColour: boolean): ChalkInstance {
	return new Chalk({level: hasColour ? 1 : 0});
}
