export {
	createTargetAdmission,
	type TargetAdmission,
} from './decisions/target-admission.js';
export {
	createShedLevel,
	shedPeriod,
	type ShedLevel,
} from './decisions/shed-level.js';
export {orderLoad, shareRefused} from './decisions/shed-order.js';
export {
	meshPolicies,
	withoutMechanisms,
	type MeshPolicy,
} from './decisions/mesh-policy.js';
export * from './header-names.js';
export {listenOn} from './listening.js';
export * from './mesh-node.js';
export type {MeshReporter, ReportDetails} from './mesh-reporter.js';
export * from './route.js';
export type * from './row-store.js';
export {digestKey, type Workspace} from './workspace.js';
export {
	announcementSchema,
	type Announcement,
	type Withdrawal,
} from './target-record.js';
