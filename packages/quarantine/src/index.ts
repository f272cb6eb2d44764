export {createCrashDetector, settleTimeout} from './crash-detector.js';
export * from './crash-watch.js';
export * from './isolation.js';
export * from './local-suspects.js';
export * from './quarantine.js';
export * from './request-identity.js';
export * from './row-writer.js';
export * from './suspect.js';
export {
	createSuspectTable,
	retentionPeriod,
	type CrashedRun,
	type SuspectTable,
} from './suspect-table.js';
export * from './suspect-tuple.js';
