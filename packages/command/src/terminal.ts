/** What the program writes to and reads from, so that tests can stand in for it. */
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
	/** Whether progress can be shown and erased again. */
	canShowProgress: boolean;
	/** Colours for results; plain text when standard output isn't a terminal. */
	colour: ChalkInstance;
	environment: Readonly<Partial<Record<string, string>>>;
	/** Writes results. */
	write(text: string): void;
	/** Writes what is not a result: findings, progress, advice. */
	writeError(text: string): void;
};

/** The terminal of this process; colour only on a terminal and without NO_COLOR. */
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

/** Colours, or plain text. */
export function createColour(hasColour: boolean): ChalkInstance {
	return new Chalk({level: hasColour ? 1 : 0});
}
