/** A request at the node of its target, from its arrival to its outcome. */
import type {CrashWatch} from '@egretspoke/quarantine';
import type {TargetAdmission} from '../decisions/admission/target-admission.js';
import type {
	ForwardedRequest,
	Outcome,
	OutcomeHandler,
	TargetLoad,
} from '../links/exchange.js';
import type {WatchedRun} from './crash-report.js';
import type {RunnableRequest, TargetRun} from './target-run.js';

/** The record of one request; its fields are all set on creation, so that all records have one shape. */
export class PendingRequest implements WatchedRun, RunnableRequest {
	state: 'waiting' | 'running' | 'over' = 'waiting';
	/** Deadline of the final answer to the caller, on the clock. */
	readonly until: number;
	/** Time of the start at the target; of the arrival until then. */
	startedAt: number;
	run: TargetRun<PendingRequest> | undefined = undefined;
	/** The admission control that holds the slot of the run. */
	admission: TargetAdmission<PendingRequest> | undefined = undefined;
	/** The crash watch of the target incarnation that runs it, and the ordinal of the run there. */
	watch: CrashWatch<PendingRequest> | undefined = undefined;
	ordinal = 0;

	constructor(
		readonly request: ForwardedRequest,
		private readonly onOutcome: OutcomeHandler,
		readonly offeredAt: number,
	) {
		this.until = offeredAt + request.timeLeft;
		this.startedAt = offeredAt;
	}

	finish(outcome: Outcome, load: TargetLoad): void {
		this.state = 'over';
		this.onOutcome(outcome, load);
	}
}
