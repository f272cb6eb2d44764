/**
 * Keeps the entry of this node in force at the others.
 *
 * Of two entries with the same name the later start counts, so an entry that
 * another writer made with the name of a live node displaces it. The nodes that
 * were linked to it tell it so, and it then claims its name with a start that is
 * later still.
 */
import type {Clock} from '@egretspoke/shared';
import {isInFuture} from '../field-schemas.js';
import type {Member} from '../links/peer-message.js';
import {createThrottledUpdates} from '../timing/throttled-updates.js';
import {isDisplaced} from './known-members.js';

/** Options of `createOwnEntry`. */
export type OwnEntryOptions = {
	clock: Clock;
	/** This node; its start is raised. */
	self: Member;
	/** Publishes the entry with the raised start. */
	publish: () => void;
};

/** The entry of this node. */
export type OwnEntry = {
	/** Receives an entry with the name of this node. */
	compare(entry: Member): void;
	close(): void;
};

/** Milliseconds between two claims; of two nodes with the same name, each would answer the other at once. */
const claimInterval = 5000;

/** Creates the entry of a node that was not displaced. */
export function createOwnEntry({
	clock,
	self,
	publish,
}: OwnEntryOptions): OwnEntry {
	/** The latest start of another entry with this name. */
	let displacedBy = 0;
	const claims = createThrottledUpdates({
		clock,
		initialInterval: claimInterval,
		maxInterval: claimInterval,
		send() {
			self.startedAt = Math.max(self.startedAt, displacedBy + 1);
			publish();
		},
	});

	return {
		compare(entry) {
			if (
				isDisplaced(self, entry) &&
				!isInFuture(entry.startedAt, clock.date())
			) {
				displacedBy = Math.max(displacedBy, entry.startedAt);
				claims.schedule();
			}
		},
		close() {
			claims.close();
		},
	};
}
