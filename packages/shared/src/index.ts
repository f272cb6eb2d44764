export * from './address.js';
export type {
	CallerConnectionsOptions,
	CloseCause,
	CutRequests,
} from './caller-connection.js';
export * from './caller-connections.js';
export type {CallerExchange} from './caller-exchange.js';
export * from './clock.js';
export * from './connection-budget.js';
export type {IntakeLimits} from './connection-intake.js';
export * from './detached.js';
export type {DocumentIssue} from './document-issue.js';
export type {DocumentPath} from './document-place.js';
export * from './duration.js';
export * from './finding.js';
export * from './fingerprint.js';
export * from './guarded-server.js';
export * from './joined-parts.js';
export * from './listening-probe.js';
export * from './message-size.js';
export * from './nearest-key.js';
export * from './random.js';
export * from './sample.js';
export * from './settings-reader.js';
export * from './size.js';
export * from './stream.js';
export * from './supervisor.js';
export * from './text-hash.js';
export * from './version-tracker.js';
export * from './virtual-clock.js';
