/** Reads the resource usage of a process from Linux's `/proc`. */
import {readFile} from 'node:fs/promises';

/** Processor time in seconds, resident memory in bytes. */
export type ProcessUsage = {processorTime: number; residentMemory: number};

/** Linux reports processor time to programs in hundredths of a second. */
const ticksPerSecond = 100;
const pageSize = 4096;

/** Reads the usage of a local process; rejects when it does not exist. */
export async function readUsage(pid: number): Promise<ProcessUsage> {
	const text = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	const [userTicks, systemTicks] = [Number(fields[11]), Number(fields[12])];
	return {
		processorTime: (userTicks + systemTicks) / ticksPerSecond,
		residentMemory: Number(fields[21]) * pageSize,
	};
}
