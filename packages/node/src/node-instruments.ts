/** The log, the metrics and the decision memory of one node, and the reporter that writes to them. */
import process from 'node:process';
import {
	createDecisionHistory,
	createEventLog,
	createMetrics,
	createStreamSink,
	type DecisionHistory,
	type EventLog,
	type Metrics,
	type NodeReadings,
} from '@egretspoke/observability';
import type {Clock} from '@egretspoke/shared';
import type {NodeReporter} from './node-reporter.js';
import {createObservingReporter} from './observing-reporter.js';
import type {NodeSettings} from './settings.js';

/** The observability of one node. */
export type NodeInstruments = {
	log: EventLog;
	metrics: Metrics;
	memory: DecisionHistory;
	reporter: NodeReporter;
};

/** Creates the instruments; `read` returns the values of the gauges. */
export function createNodeInstruments(
	settings: NodeSettings,
	clock: Clock,
	read: () => NodeReadings,
): NodeInstruments {
	const log = createEventLog({
		node: settings.node,
		...settings.logs,
		clock,
		sink: createStreamSink(process.stdout),
	});
	const metrics = createMetrics(read);
	const memory = createDecisionHistory();
	const reporter = createObservingReporter({log, metrics, memory, clock});
	return {log, metrics, memory, reporter};
}
