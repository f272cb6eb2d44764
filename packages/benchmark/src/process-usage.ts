/** What a process has used, as Linux tells it. */
import {readFile} from 'node:fs/promises';

/** Processor time in seconds, resident memory in bytes. */
export type ProcessUsage = {processorTime: number; residentMemory: number};

/** Linux counts processor time in hundredths of a second towards programs. */
const ticksPerSecond = 100;
const pageSize = 4096;

/** Reads the usage of a process of this machine. */
export async function readUsage(pid: number): Promise<ProcessUsage> {
	const text = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	const [userTicks, systemTicks] = [Number(fields[11]), Number(fields[12])];
	return {
		processorTime: (userTicks + systemTicks) / ticksPerSecond,
		residentMemory: Number(fields[21]) * pageSize,
	};
}
