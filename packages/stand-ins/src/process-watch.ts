/** Watches what a running process holds. */
import {readdirSync, readFileSync} from 'node:fs';

/** The most that a process held while it was watched. */
export type ProcessPeak = {
	/** Anonymous and shared memory in megabytes. */
	memory: number;
	/** Open descriptors. */
	descriptors: number;
};

/** Milliseconds between two readings. */
const interval = 20;

/** Reads a process until the returned function is called. */
export function watchProcess(pid: number): () => ProcessPeak {
	const peak: ProcessPeak = {memory: 0, descriptors: 0};
	const read = () => {
		try {
			const status = readFileSync(`/proc/${pid}/status`, 'utf8');
			peak.memory = Math.max(
				peak.memory,
				readMegabytes(status, 'RssAnon') + readMegabytes(status, 'RssShmem'),
			);
			peak.descriptors = Math.max(peak.descriptors, countDescriptors(pid));
		} catch {
			// The process has ended, which its owner reports.
		}
	};

	read();
	const timer = setInterval(read, interval);
	return () => {
		clearInterval(timer);
		read();
		return peak;
	};
}

/** Number of open descriptors of a process; throws if it has ended. */
export function countDescriptors(pid: number): number {
	return readdirSync(`/proc/${pid}/fd`).length;
}

function readMegabytes(status: string, field: string): number {
	const kilobytes = new RegExp(`^${field}:\\s+(\\d+) kB$`, 'mu').exec(
		status,
	)?.[1];
	return (Number(kilobytes ?? 0) * 1024) / 1_000_000;
}
