export {createCrashDetector, settleTime} from './crash-detector.js';
export * from './crash-watch.js';
export * from './isolation.js';
export * from './noted-suspects.js';
export * from './quarantine.js';
export * from './request-identity.js';
export * from './row-writer.js';
export * from './suspect.js';
export {
	createSuspectTable,
	memoryTime,
	type CrashedRun,
	type SuspectTable,
} from './suspect-table.js';
export * from './suspect-tuple.js';
