/**
 * Whether a node takes a body that it was offered.
 *
 * What goes wrong without the rule: a data centre that was cut off comes back
 * and passes on the version it still has; whoever takes what it heard last goes
 * back to it. One notices a version number falling in `egretspoke status` and
 * an undone payment rule. A node that takes a version only if it is higher,
 * whole and fits its checksum can't go back, whoever tells it what.
 */
import {err, ok, type Result} from 'neverthrow';
import {
	readConfiguration,
	type InvalidBodyReason,
	type Configuration,
	type ConfigurationBody,
} from './configuration.js';

/** Why an offered body was not taken. */
export type Rejection = InvalidBodyReason | 'notHigher';

/** Decides about versions that are heard of and bodies that are offered. */
export type AcceptanceRule = {
	/** Whether a body of that version is worth fetching. */
	isWanted(current: Configuration, version: number): boolean;
	accept(
		current: Configuration,
		offer: ConfigurationBody,
	): Result<Configuration, Rejection>;
};

/** The rules by name; `latestHeard` is the naive way, for proofs only. */
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
