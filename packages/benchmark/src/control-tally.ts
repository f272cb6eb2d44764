/** Measures traffic, processor time and platform calls of control during a window. */
import process from 'node:process';
import type {PlatformCounters} from '@egretspoke/stand-ins';

/** Bytes and messages that a node has sent. */
export type NodeTally = {bytes: number; messages: number};

/** Costs during the window of one phase. */
export type PhaseFigures = {
	seconds: number;
	/** Bytes of encoded messages that a node sends a second: average, and maximum over the nodes. */
	payloadBytesPerSecond: number;
	payloadBytesPerSecondAtMost: number;
	/** The average including an assumed `framingBytes` for each message. */
	bytesPerSecond: number;
	messagesPerSecond: number;
	/** Per cent of one core for each node, including the codec and in-memory sends. */
	processorShare: number;
	/** Totals over all nodes. */
	tableReadsPerSecond: number;
	tableWritesPerSecond: number;
};

/**
 * Overhead of a message on the wire in bytes: 8 for a masked WebSocket frame, 52
 * for TCP and IP with timestamps. Bare TCP acknowledgements are excluded.
 */
export const framingBytes = 60;

/** Starts a window; the returned function ends it and returns the figures. */
export function startWindow(
	tallies: NodeTally[],
	counters: PlatformCounters,
): () => PhaseFigures {
	const startedAt = performance.now();
	const usage = process.cpuUsage();
	const before = tallies.map((tally) => ({...tally}));
	const {reads, writes} = counters;
	return () => {
		const seconds = (performance.now() - startedAt) / 1000;
		const {user, system} = process.cpuUsage(usage);
		const processorSeconds = (user + system) / 1e6;
		const bytes = tallies.map(
			(tally, index) => tally.bytes - (before[index]?.bytes ?? 0),
		);
		const messages = tallies.map(
			(tally, index) => tally.messages - (before[index]?.messages ?? 0),
		);
		const nodes = tallies.length;
		const perNodeSecond = (value: number) => value / nodes / seconds;
		const payload = perNodeSecond(sum(bytes));
		const messageRate = perNodeSecond(sum(messages));
		return {
			seconds: round(seconds, 2),
			payloadBytesPerSecond: round(payload),
			payloadBytesPerSecondAtMost: round(Math.max(...bytes) / seconds),
			bytesPerSecond: round(payload + messageRate * framingBytes),
			messagesPerSecond: round(messageRate, 2),
			processorShare: round(100 * perNodeSecond(processorSeconds), 3),
			tableReadsPerSecond: round((counters.reads - reads) / seconds, 1),
			tableWritesPerSecond: round((counters.writes - writes) / seconds, 2),
		};
	};
}

/** Rounds to a number of decimals. */
export function round(value: number, decimals = 0): number {
	return Number(value.toFixed(decimals));
}

function sum(values: number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
