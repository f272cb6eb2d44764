/** What control sends and uses, counted between two marks. */
import process from 'node:process';
import type {PlatformCounters} from '@egretspoke/stand-ins';

/** Counts of one node's sends. */
export type NodeTally = {bytes: number; messages: number};

/** What a window of a phase cost. */
export type PhaseFigures = {
	seconds: number;
	/** Bytes of encoded messages that a node sends a second, on average and at the busiest node. */
	payloadBytesPerSecond: number;
	payloadBytesPerSecondAtMost: number;
	/** The same with `framingBytes` for each message, which is assumed. */
	bytesPerSecond: number;
	messagesPerSecond: number;
	/** Per cent of one core for each node, codec and sends in memory included. */
	processorShare: number;
	/** Of all nodes together. */
	tableReadsPerSecond: number;
	tableWritesPerSecond: number;
};

/**
 * Bytes around a message on the wire: 8 of a masked WebSocket frame, 52 of TCP
 * and IP with time stamps. An acknowledgement of TCP alone isn't counted.
 */
export const framingBytes = 60;

/** Begins a window; the function that comes back ends it. */
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

/** Rounds to so many decimals. */
export function round(value: number, decimals = 0): number {
	return Number(value.toFixed(decimals));
}

function sum(values: number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
