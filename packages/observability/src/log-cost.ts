/**
 * Measures the cost of logging a decision, storing it in the history and
 * updating the metrics: on the request path, and off it, where lines are
 * formatted. Run with `npm run --silent log-cost -- --json`.
 */
import process from 'node:process';
import {createSystemClock} from '@egretspoke/shared';
import {createDecisionHistory} from './decision-history.js';
import {createEventLog, type EventLogOptions} from './event-log.js';
import {createMetrics} from './metrics.js';

const rounds = 2000;
/** Below the capacity of the buffer, so that no event is dropped. */
const perRound = 1000;
const clock = createSystemClock();

type Cost = {onPath: number; offPath?: number};

/** Nanoseconds per call, JIT warm-up included. */
const costs: Record<string, Cost> = {
	textAll: measureLog({format: 'text', sample: 1}),
	jsonAll: measureLog({format: 'json', sample: 1}),
	jsonOnePercent: measureLog({format: 'json', sample: 0.01}),
	belowLevel: measureLog({format: 'json', sample: 1, level: 'warn'}),
	memory: measureHistory(),
	requestEnded: measureMetrics(),
};

if (process.argv.includes('--json')) {
	process.stdout.write(`${JSON.stringify({unit: 'ns', costs})}\n`);
} else {
	for (const [name, {onPath, offPath}] of Object.entries(costs)) {
		const rest = offPath === undefined ? '' : `, ${offPath} ns off it`;
		process.stdout.write(`${name}: ${onPath} ns on the path${rest}\n`);
	}
}

function measureLog(options: Partial<EventLogOptions>): Cost {
	const log = createEventLog({
		node: 'orders-1',
		level: 'info',
		format: 'json',
		sample: 1,
		clock,
		sink: {isReady: () => true, write: () => undefined},
		...options,
	});
	let onPath = 0;
	let offPath = 0;
	measure((round) => {
		const names = Array.from({length: perRound}, (_, index) => {
			return `request-${round}-${index}`;
		});
		onPath += time(() => {
			for (const request of names) {
				log.record('routed', {
					request,
					reason: 'fewest in flight of two',
					details: {node: 'orders-2', inFlight: 3},
				});
			}
		});
		offPath += time(() => {
			log.flush();
		});
	});
	return {onPath: perCall(onPath), offPath: perCall(offPath)};
}

function measureHistory(): Cost {
	const memory = createDecisionHistory();
	let onPath = 0;
	measure((round) => {
		onPath += time(() => {
			for (let index = 0; index < perRound; index++) {
				memory.record({
					request: `request-${round}-${index}`,
					name: 'routed',
					at: round,
					reason: 'fewest in flight of two',
					details: {node: 'orders-2', inFlight: index},
				});
			}
		});
	});
	return {onPath: perCall(onPath)};
}

function measureMetrics(): Cost {
	const metrics = createMetrics(() => {
		throw new Error('the benchmark must not collect metrics');
	});
	let onPath = 0;
	measure(() => {
		onPath += time(() => {
			for (let index = 0; index < perRound; index++) {
				metrics.requestEnded({
					role: 'entry',
					service: 'orders',
					requestClass: 'essential',
					outcome: 'answered',
					duration: index % 50,
				});
			}
		});
	});
	return {onPath: perCall(onPath)};
}

function measure(run: (round: number) => void): void {
	for (let round = 0; round < rounds; round++) {
		run(round);
	}
}

function time(work: () => void): number {
	const startedAt = performance.now();
	work();
	return performance.now() - startedAt;
}

function perCall(milliseconds: number): number {
	return Math.round((milliseconds * 1e6) / (rounds * perRound));
}
