/** What one node knows of requests that crash targets, and whom it has to tell. */
import type {Clock} from '@egretspoke/shared';
import type {RequestIdentity, RequestParts} from './request-identity.js';
import {isIsolated, isQuarantined, type Suspect} from './suspect.js';
import {createSuspectTable, type CrashedRun} from './suspect-table.js';

/** What a quarantine needs. */
export type QuarantineOptions = {
	clock: Clock;
	/** This node has found something out: tells all that it can reach. */
	broadcast: (suspects: Suspect[]) => void;
	/** Another node has: passes it on to a few. */
	gossip: (suspects: Suspect[]) => void;
	/** Keeps it beyond the life of this process. */
	persist: (suspects: Suspect[]) => void;
	/** A request is not to be run any more. */
	onQuarantined: (suspect: Suspect) => void;
};

/** The quarantine of one node. */
export type Quarantine = {
	/** What is known of the request; undefined when no target crashed under it. */
	lookUp(
		path: string,
		bodyLength: number,
		partsOf: () => RequestParts,
	): Suspect | undefined;
	/** The target beside this node crashed; gives what is known now of the suspects that this changed. */
	recordCrash(runs: CrashedRun[]): Suspect[];
	/** The target beside this node answered the request. */
	recordAnswer(
		path: string,
		bodyLength: number,
		partsOf: () => RequestParts,
	): void;
	/** Takes what other nodes know. */
	receive(told: readonly Suspect[]): void;
	/** What a node that has just been reached has to know. */
	list(): Suspect[];
	/** Forgets what has not come for long; to be called in each `expiryPeriod`. */
	expire(): void;
	/** Keeps anew what still comes; to be called in each `renewalPeriod`. */
	renew(): void;
};

/** Milliseconds between two looks for suspects to forget. */
export const expiryInterval = 10_000;
/** Milliseconds after which requests in quarantine that still come are kept anew. */
export const renewalInterval = 900_000;
/** Suspects that a node tells another one at most. */
const mostTold = 128;

/** Creates the quarantine of a node that has heard of nothing. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
	const {clock, broadcast: spread, persist: keep} = options;
	const table = createSuspectTable();
	/** Requests in quarantine that came here since they were kept last. */
	const refused = new Map<RequestIdentity, Suspect>();

	const tellQuarantined = (suspects: readonly Suspect[]) => {
		for (const suspect of suspects) {
			if (isQuarantined(suspect)) {
				options.onQuarantined(suspect);
			}
		}
	};

	const publish = (suspects: Suspect[]) => {
		if (suspects.length > 0) {
			spread(suspects);
			keep(suspects);
		}
	};

	const lookUp = (
		path: string,
		bodyLength: number,
		partsOf: () => RequestParts,
	) => table.lookUp(path, bodyLength, partsOf, clock.now());

	return {
		lookUp(path, bodyLength, partsOf) {
			const suspect = lookUp(path, bodyLength, partsOf);
			if (suspect && isQuarantined(suspect)) {
				refused.set(suspect.identity, suspect);
			}

			return suspect;
		},
		recordCrash(runs) {
			const changed = table.recordCrash(runs, clock.now());
			tellQuarantined(changed);
			publish(changed);
			return changed;
		},
		recordAnswer(path, bodyLength, partsOf) {
			const suspect = lookUp(path, bodyLength, partsOf);
			if (!suspect) {
				return;
			}

			// A single crash does no harm elsewhere, and most innocent requests have one.
			const isKnownElsewhere = isIsolated(suspect);
			const cleared = table.clear(suspect.identity, clock.now());
			if (cleared && isKnownElsewhere) {
				publish([cleared]);
			}
		},
		receive(told) {
			const news = table.merge(told, clock.now());
			tellQuarantined(news);
			if (news.length > 0) {
				options.gossip(news);
			}
		},
		list: () => table.list(mostTold),
		expire() {
			table.expire(clock.now());
		},
		renew() {
			if (refused.size > 0) {
				keep([...refused.values()]);
				refused.clear();
			}
		},
	};
}
