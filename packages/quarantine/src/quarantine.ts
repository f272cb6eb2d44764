/** The quarantine of one node: records suspects, and forwards changes to other nodes and to the store. */
import type {Clock} from '@egretspoke/shared';
import type {RequestIdentity, RequestParts} from './request-identity.js';
import {isIsolated, isNewer, isQuarantined, type Suspect} from './suspect.js';
import {createSuspectTable, type CrashedRun} from './suspect-table.js';

/** Options of a quarantine. */
export type QuarantineOptions = {
	clock: Clock;
	/** Sends suspects that changed at this node to every reachable node. */
	broadcast: (suspects: Suspect[]) => void;
	/** Forwards new suspects of another node to a few nodes. */
	gossip: (suspects: Suspect[]) => void;
	/** Stores suspects, so that they outlast this process. */
	persist: (suspects: Suspect[]) => void;
	/** Called when a request enters quarantine. */
	onQuarantined: (suspect: Suspect) => void;
};

/** The quarantine of one node. */
export type Quarantine = {
	/** Returns the suspect of a request; undefined when it has no crashes. */
	lookUp(
		path: string,
		bodyLength: number,
		partsOf: () => RequestParts,
	): Suspect | undefined;
	/** Records a crash of the local target; returns the suspects that changed. */
	recordCrash(runs: CrashedRun[]): Suspect[];
	/** Records that the local target answered the request, which clears it. */
	recordAnswer(
		path: string,
		bodyLength: number,
		partsOf: () => RequestParts,
	): void;
	/** Merges the suspects of another node, and forwards those that are new here. */
	receive(received: readonly Suspect[]): void;
	/** Returns the suspects to send to a newly connected node. */
	list(): Suspect[];
	/** Removes suspects that are no longer in use; call it every `expiryInterval`. */
	expire(): void;
	/** Stores suspects in quarantine that are still requested, once more; call it every `renewalInterval`. */
	renew(): void;
};

/** Milliseconds between two calls of `expire`. */
export const expiryInterval = 10_000;
/** Milliseconds between two calls of `renew`. */
export const renewalInterval = 900_000;
/** Maximum number of suspects sent to a newly connected node. */
const maxListed = 128;
/** Maximum number of requests that are remembered as cleared here only. */
const maxCleared = 1000;

/** Creates a quarantine without suspects. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
	const {clock, broadcast, persist} = options;
	const table = createSuspectTable();
	/** Suspects in quarantine that were looked up since the last call of `renew`. */
	const refused = new Map<RequestIdentity, Suspect>();
	/** Requests that the local target cleared without notice to the other nodes. */
	const clearedHere = new Map<RequestIdentity, Suspect>();

	const notifyQuarantined = (suspects: readonly Suspect[]) => {
		for (const suspect of suspects) {
			if (isQuarantined(suspect)) {
				options.onQuarantined(suspect);
			}
		}
	};

	const publish = (suspects: Suspect[]) => {
		if (suspects.length > 0) {
			broadcast(suspects);
			persist(suspects);
		}
	};

	const rememberCleared = (cleared: Suspect) => {
		clearedHere.delete(cleared.identity);
		clearedHere.set(cleared.identity, cleared);
		if (clearedHere.size > maxCleared) {
			const [oldest] = clearedHere.keys();
			clearedHere.delete(oldest!);
		}
	};

	/**
	 * Publishes what was cleared here when another node, which doesn't know it,
	 * goes on counting. Otherwise its count would restrict the request everywhere.
	 */
	const publishCleared = (received: readonly Suspect[]) => {
		const unknown: Suspect[] = [];
		for (const suspect of received) {
			const cleared = clearedHere.get(suspect.identity);
			if (cleared && isIsolated(suspect)) {
				clearedHere.delete(suspect.identity);
				if (isNewer(cleared, suspect)) {
					unknown.push(cleared);
				}
			}
		}

		publish(unknown);
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
			notifyQuarantined(changed);
			publish(changed);
			return changed;
		},
		recordAnswer(path, bodyLength, partsOf) {
			const suspect = lookUp(path, bodyLength, partsOf);
			if (!suspect) {
				return;
			}

			// A suspect with a single crash is restricted nowhere, and most innocent requests
			// have one crash, so clearing it is not published.
			const isPublishable = isIsolated(suspect);
			const cleared = table.clear(suspect.identity, clock.now());
			if (!cleared) {
				return;
			}

			if (isPublishable) {
				publish([cleared]);
			} else {
				rememberCleared(cleared);
			}
		},
		receive(received) {
			publishCleared(received);
			const updates = table.merge(received, clock.now());
			notifyQuarantined(updates);
			if (updates.length > 0) {
				options.gossip(updates);
			}
		},
		list: () => table.list(maxListed),
		expire() {
			table.expire(clock.now());
		},
		renew() {
			if (refused.size > 0) {
				persist([...refused.values()]);
				refused.clear();
			}
		},
	};
}
