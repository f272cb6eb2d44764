/** The interface through which modules of a mesh node log decisions and changes. */
import type {EventFields, EventName} from '@egretspoke/observability';

/** Details of an event; values must be small. */
export type ReportDetails = NonNullable<EventFields['details']>;

/** Logs events without blocking. */
export type MeshReporter = {
	/** Logs an event of this node, a peer or the store. */
	notice(name: EventName, details?: ReportDetails): void;
	/** Logs a decision about one request. */
	decision(
		name: EventName,
		request: string,
		reason: string,
		details?: ReportDetails,
	): void;
};
