/** The connections to the target beside this node, and whether it is reached by them. */
import type {Clock} from '@egretspoke/shared';
import type {HeaderNames} from './header-names.js';
import type {MeshReporter} from './mesh-reporter.js';
import {createTargetClient, type TargetClient} from './target-client.js';
import type {TargetRecord} from './target-record.js';

/** What the access needs. */
export type TargetAccessOptions = {
	clock: Clock;
	headerNames: HeaderNames;
	reporter: MeshReporter;
	/** The target can't be reached or has been replaced; true once it answers again. */
	onReachable: (isReachable: boolean) => void;
	/** A connection could not be opened. */
	onConnectionRefused: () => void;
};

/** The access to one target after the other. */
export type TargetAccess = {
	/** Undefined while no target may be called. */
	client(): TargetClient | undefined;
	isReachable(): boolean;
	/** Calls that target from now on. */
	open(record: TargetRecord): void;
	/** Calls nobody from now on; what runs goes on. */
	close(): void;
	/** The target has announced itself; the next request shows whether it is reached. */
	assumeReachable(): void;
	/** The target has answered. */
	recordAnswer(): void;
	/**
	 * Opens new connections in place of the idle ones. Connections can go silent
	 * for good without a reset, all at once; each would cost the request that it
	 * is used for next. A target ends its work by the time that it was given, so
	 * one that says nothing at all by then may have lost its connections. At most
	 * once in a while, for a hanging target looks the same.
	 */
	renew(): void;
};

/** Milliseconds between two renewals of the connections: a check of a target's health takes no longer. */
const minRenewalInterval = 2000;

/** Creates an access to nobody. */
export function createTargetAccess(options: TargetAccessOptions): TargetAccess {
	const {clock, headerNames, reporter} = options;
	let current: TargetRecord | undefined;
	let client: TargetClient | undefined;
	let isReachable = true;
	let renewedAt = Number.NEGATIVE_INFINITY;

	const open = (record: TargetRecord) => {
		client?.close();
		current = record;
		client = createTargetClient({
			endpoint: {address: record.address, targetId: record.targetId},
			headerNames,
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

	/** A client that was closed may still tell of the target before. */
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
