/**
 * A process of the demonstration, the benchmark or a failure test: started
 * with Node, read line by line, stopped by signals.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** How to start it. */
export type ChildOptions = {
	/** The script, and its arguments. */
	script: string;
	parameters?: string[];
	/** Options of Node itself. */
	nodeOptions?: string[];
};

/** A process that runs. */
export type Child = {
	pid: number;
	/** Every line that it has written to standard output. */
	lines: readonly string[];
	/** Resolves with the exit code; undefined when a signal ended it. */
	exited: Promise<number | undefined>;
	/** What it has written to standard error. */
	errors(): string;
	/** Resolves with the first line, written already or yet to come, that the function reads as something. */
	waitFor<T>(read: (line: string) => T | undefined): Promise<T>;
	/** Writes a line and resolves with the next line of output. */
	sendCommand(line: string): Promise<unknown>;
	signal(name: NodeJS.Signals): void;
	/** Kills it, if it still runs, and waits. */
	kill(): Promise<void>;
};

const runningChildren = new Set<ChildProcess>();

process.once('exit', () => {
	for (const child of runningChildren) {
		child.kill('SIGKILL');
	}
});

/** Starts a process. It ends with this one at the latest. */
export function startChild(options: ChildOptions): Child {
	const child = spawn(
		process.execPath,
		[
			...(options.nodeOptions ?? []),
			options.script,
			...(options.parameters ?? []),
		],
		{stdio: ['pipe', 'pipe', 'pipe']},
	);
	const lines: string[] = [];
	const watchers = new Set<(line: string | undefined) => void>();
	let errors = '';
	const notifyWatchers = (line: string | undefined) => {
		for (const watcher of watchers) {
			watcher(line);
		}
	};

	createInterface({input: child.stdout}).on('line', (line) => {
		lines.push(line);
		notifyWatchers(line);
	});
	child.stderr.on('data', (chunk: Uint8Array) => {
		errors += String(chunk);
	});
	runningChildren.add(child);
	const exited = waitForExit(child, () => {
		runningChildren.delete(child);
		notifyWatchers(undefined);
	});

	const waitFrom = async <T>(
		start: number,
		read: (line: string) => T | undefined,
	): Promise<T> =>
		new Promise((resolve, reject) => {
			for (const line of lines.slice(start)) {
				const found = read(line);
				if (found !== undefined) {
					resolve(found);
					return;
				}
			}

			const watcher = (line: string | undefined) => {
				const found = line === undefined ? undefined : read(line);
				if (line === undefined || found !== undefined) {
					watchers.delete(watcher);
				}

				if (found !== undefined) {
					resolve(found);
				} else if (line === undefined) {
					reject(new Error(`the process ended: ${errors || lines.at(-1)}`));
				}
			};

			watchers.add(watcher);
			if (child.exitCode !== null || child.signalCode !== null) {
				watcher(undefined);
			}
		});

	return {
		pid: child.pid ?? 0,
		lines,
		errors: () => errors,
		exited,
		waitFor: async (read) => waitFrom(0, read),
		async sendCommand(line) {
			const answer = waitFrom(lines.length, readJson);
			child.stdin.write(`${line}\n`);
			return answer;
		},
		signal(name) {
			child.kill(name);
		},
		async kill() {
			child.kill('SIGKILL');
			await exited;
		},
	};
}

async function waitForExit(
	child: ChildProcess,
	onExit: () => void,
): Promise<number | undefined> {
	const [code] = (await once(child, 'close')) as [number | undefined];
	onExit();
	return code ?? undefined;
}

/** A line of JSON; undefined for any other. */
export function readJson(line: string): Record<string, unknown> | undefined {
	if (!line.startsWith('{')) {
		return undefined;
	}

	try {
		return JSON.parse(line) as Record<string, unknown>;
	} catch {
		return undefined;
	}
}
