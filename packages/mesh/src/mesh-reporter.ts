/** How the parts of a mesh node tell what they decided and what changed. */
import type {EventFields, EventName} from '@egretspoke/observability';

/** Details of an event; small values only. */
export type ReportDetails = NonNullable<EventFields['details']>;

/** Takes events; never blocks. */
export type MeshReporter = {
	/** Something about this node, a peer or the store. */
	notice(name: EventName, details?: ReportDetails): void;
	/** Something about one request. */
	decision(
		name: EventName,
		request: string,
		reason: string,
		details?: ReportDetails,
	): void;
};
