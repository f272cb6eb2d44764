export {
	createTargetAdmission,
	type TargetAdmission,
} from './decisions/admission/target-admission.js';
export {
	createShedLevel,
	shedPeriod,
	type ShedLevel,
} from './decisions/admission/shed-level.js';
export {orderLoad, shareRefused} from './decisions/admission/shed-order.js';
export {
	meshPolicies,
	withoutMechanisms,
	type MeshPolicy,
} from './decisions/mesh-policy.js';
export * from './configuration/header-names.js';
export {createLimitedNotices} from './limited-notices.js';
export {listenPersistently, listenOn, type ListenFailure} from './listening.js';
export * from './mesh-node.js';
export type {MeshReporter, ReportDetails} from './mesh-reporter.js';
export * from './configuration/route.js';
export type * from './configuration/row-store.js';
export {digestKey, type Workspace} from './quotas/workspace.js';
export {
	announcementSchema,
	withdrawalSchema,
	type Announcement,
	type Withdrawal,
} from './target/target-record.js';
