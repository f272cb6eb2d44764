/**
 * Decides whether a node accepts an offered configuration body.
 *
 * A node that accepted whatever it received last would revert to an older
 * version when a data centre rejoins after a partition and gossips the version
 * that it still has: the version number in `egretspoke status` would fall, and
 * a payment rule would be undone. A node that accepts only a higher version with
 * a valid checksum cannot go back, whatever it is offered.
 */
import {err, ok, type Result} from 'neverthrow';
import {
	readConfiguration,
	type InvalidBodyReason,
	type Configuration,
	type ConfigurationBody,
} from './configuration.js';

/** Why an offered body was rejected. */
export type Rejection = InvalidBodyReason | 'notHigher';

/** Decides which versions to fetch and which bodies to accept. */
export type AcceptanceRule = {
	/** Whether to fetch the body of that version. */
	isWanted(current: Configuration, version: number): boolean;
	accept(
		current: Configuration,
		offer: ConfigurationBody,
	): Result<Configuration, Rejection>;
};

/** The rules by name; `lastReceived` is the naive rule, for tests that show its effect. */
export const acceptanceRules = {
	higherAndWhole: {
		isWanted: (current, version) => version > current.version,
		accept: (current, offer) =>
			offer.version > current.version
				? readConfiguration(offer)
				: err('notHigher'),
	},
	lastReceived: {
		isWanted: (current, version) => version !== current.version,
		accept: (_current, offer) =>
			readConfiguration(offer).orElse(() =>
				ok({...offer, services: [], classifiers: new Map()}),
			),
	},
} as const satisfies Record<string, AcceptanceRule>;
