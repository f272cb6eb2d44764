/** Manages the client of the local target and tracks whether the target is reachable. */
import type {MeshMetrics} from '@egretspoke/observability';
import type {Clock} from '@egretspoke/shared';
import type {MemoryBudget} from '../decisions/memory/memory-budget.js';
import type {HeaderNames} from '../configuration/header-names.js';
import type {MeshReporter} from '../mesh-reporter.js';
import type {TargetNotice} from './target-notice.js';
import {createTargetClient, type TargetClient} from './target-client.js';
import type {TargetRecord} from './target-record.js';

/** Dependencies of the access. */
export type TargetAccessOptions = {
	clock: Clock;
	headerNames: HeaderNames;
	budget: MemoryBudget;
	reporter: MeshReporter;
	metrics: Pick<MeshMetrics, 'targetConnectionOpened' | 'foreignResponse'>;
	/** Called with false when the target is unreachable or was replaced, with true once it answers again. */
	onReachable: (isReachable: boolean) => void;
	/** An answer of the current target arrived; `ordinal` increases with the start of each request. */
	onNotice: (notice: TargetNotice, ordinal: number) => void;
	/** A connection could not be opened. */
	onConnectionRefused: () => void;
	/** Defaults to the HTTP client. */
	createClient?: typeof createTargetClient;
};

/** The access to the current local target. */
export type TargetAccess = {
	/** The client of the target; undefined if there is none. */
	client(): TargetClient | undefined;
	isReachable(): boolean;
	/** Replaces the client by one for the given target. */
	open(record: TargetRecord): void;
	/** Removes the client; running requests continue. */
	close(): void;
	/** Marks the target as reachable after an announcement; the next request shows whether it is. */
	assumeReachable(): void;
	recordAnswer(): void;
	/**
	 * Replaces the idle connections. Connections can die without a reset, all at
	 * once, and each would then cost the next request sent over it. A target
	 * finishes its work by the deadline it was given, so one that has not responded
	 * by then may have lost its connections. A hanging target looks the same, so
	 * renewals are rate-limited.
	 */
	renew(): void;
};

/** Minimum interval between renewals of the connections, in milliseconds; a target's health check takes no longer. */
const minRenewalInterval = 2000;

/** Creates an access without a target. */
export function createTargetAccess(options: TargetAccessOptions): TargetAccess {
	const {clock, headerNames, reporter, metrics} = options;
	const {createClient = createTargetClient} = options;
	let current: TargetRecord | undefined;
	let client: TargetClient | undefined;
	let isReachable = true;
	let renewedAt = Number.NEGATIVE_INFINITY;
	let ordinal = 0;

	const open = (record: TargetRecord) => {
		client?.close();
		current = record;
		client = createClient({
			endpoint: {address: record.address, targetId: record.targetId},
			headerNames,
			clock,
			budget: options.budget,
			nextOrdinal: () => ++ordinal,
			onNotice(notice, ordinalOfRequest) {
				if (isCurrent(record)) {
					options.onNotice(notice, ordinalOfRequest);
				}
			},
			onConnect() {
				metrics.targetConnectionOpened();
			},
			onForeignResponse(requestId, {status, responseTo}) {
				metrics.foreignResponse();
				reporter.decision('meshForeignResponse', requestId, String(status), {
					responseTo,
				});
			},
			onReplaced() {
				reporter.notice('meshTargetReplaced', {target: record.targetId});
				markUnreachable(record);
			},
			onUnreachable(detail) {
				if (isReachable && isCurrent(record)) {
					reporter.notice('meshTargetUnreachable', {
						target: record.targetId,
						detail,
					});
				}

				markUnreachable(record);
				if (isCurrent(record)) {
					options.onConnectionRefused();
				}
			},
		});
	};

	/** A closed client may still report events of the previous target. */
	const isCurrent = (record: TargetRecord) =>
		current?.targetId === record.targetId &&
		current.startedAt === record.startedAt;

	const markUnreachable = (record: TargetRecord) => {
		if (isReachable && isCurrent(record)) {
			isReachable = false;
			options.onReachable(false);
		}
	};

	return {
		client: () => client,
		isReachable: () => isReachable,
		open,
		close() {
			client?.close();
			client = undefined;
			current = undefined;
		},
		assumeReachable() {
			isReachable = true;
		},
		recordAnswer() {
			if (!isReachable) {
				isReachable = true;
				options.onReachable(true);
			}
		},
		renew() {
			const now = clock.now();
			if (current && now - renewedAt > minRenewalInterval) {
				renewedAt = now;
				open(current);
			}
		},
	};
}
