/**
 * Starts Node processes for the demonstration, the benchmark and failure tests,
 * reads their output line by line, and stops them with signals.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** Options of a child process. */
export type ChildOptions = {
	/** Path of the script. */
	script: string;
	parameters?: string[];
	/** Options for the Node executable. */
	nodeOptions?: string[];
};

/** A running child process. */
export type Child = {
	pid: number;
	/** All lines of standard output so far. */
	lines: readonly string[];
	/** Resolves with the exit code, or undefined when a signal ended the process. */
	exited: Promise<number | undefined>;
	/** Returns the text of standard error so far. */
	errors(): string;
	/** Resolves with the first defined result of `read` over past and future lines; rejects when the process ends. */
	waitFor<T>(read: (line: string) => T | undefined): Promise<T>;
	/** Writes a line to standard input and resolves with the next JSON line of output. */
	sendCommand(line: string): Promise<unknown>;
	signal(name: NodeJS.Signals): void;
	/** Kills the process and waits for its exit. */
	kill(): Promise<void>;
};

const runningChildren = new Set<ChildProcess>();

process.once('exit', () => {
	for (const child of runningChildren) {
		child.kill('SIGKILL');
	}
});

/** Starts a process; it is killed when this process exits. */
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

/** Parses a line as a JSON object; returns undefined for any other line. */
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
