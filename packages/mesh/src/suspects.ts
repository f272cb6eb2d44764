/**
 * What this node knows of requests that crash targets, from its own target,
 * from its peers and from the store, and whom it tells.
 */
import {
	createSuspectTable,
	isIsolated,
	isQuarantined,
	type CrashedRun,
	type RequestIdentity,
	type Suspect,
} from '@egretspoke/quarantine';
import type {Clock} from '@egretspoke/shared';
import type {HandedRequest} from './exchange.js';
import type {Gossip} from './gossip.js';
import type {HeaderNames} from './header-names.js';
import type {MeshReporter} from './mesh-reporter.js';
import type {PeerMessage, SuspectsMessage} from './peer-message.js';
import {partsOf} from './request-parts.js';
import type {SuspectRegister} from './suspect-register.js';
import {toSuspect, toTuple} from './suspect-tuple.js';
import type {Ticker} from './ticker.js';

/** What the knowledge needs. */
export type SuspectsOptions = {
	clock: Clock;
	headerNames: Pick<HeaderNames, 'workspace'>;
	reporter: MeshReporter;
	/** Tells every linked node. */
	tellAll: (message: PeerMessage) => void;
	gossip: () => Pick<Gossip<Suspect>, 'add'>;
	register: () => Pick<SuspectRegister, 'note'>;
};

/** The parts of a request by which it is known. */
export type KnownRequest = Pick<
	HandedRequest,
	'method' | 'path' | 'headers' | 'body'
>;

/** The knowledge. */
export type Suspects = {
	/** What is known of the request; undefined when no target crashed under it. */
	lookUp(request: KnownRequest): Suspect | undefined;
	/** The target beside this node crashed; gives what is known now of the suspects that this changed. */
	noteCrash(runs: CrashedRun[]): Suspect[];
	/** The target beside this node answered the request. */
	noteAnswer(request: KnownRequest): void;
	/** Takes what a peer told. */
	take(message: SuspectsMessage): void;
	/** Takes what lies in the store. */
	takeStored(suspects: Suspect[]): void;
	/** What a newly linked node has to know; nothing when there is nothing. */
	greeting(): SuspectsMessage[];
	start(ticker: Ticker): void;
};

/** Suspects in one message to a newly linked node. */
const mostInGreeting = 128;
/** Milliseconds between two looks for suspects to forget. */
const expiryPeriod = 10_000;
/** Milliseconds after which requests in quarantine that still come are written again, so that their rows stay young. */
const renewalPeriod = 900_000;

/** Creates the knowledge of a node that has heard of nothing. */
export function createSuspects(options: SuspectsOptions): Suspects {
	const {clock, headerNames, reporter} = options;
	const table = createSuspectTable();
	/** Requests in quarantine that came here since their rows were written last. */
	const refused = new Map<RequestIdentity, Suspect>();

	const tellQuarantined = (suspects: readonly Suspect[]) => {
		for (const {identity, crashes} of suspects.filter((suspect) =>
			isQuarantined(suspect),
		)) {
			reporter.notice('meshRequestQuarantined', {identity, crashes});
		}
	};

	const spread = (suspects: Suspect[]) => {
		if (suspects.length > 0) {
			options.tellAll(toMessage(suspects));
			options.register().note(suspects);
		}
	};

	const merge = (told: Suspect[]) => {
		const news = table.merge(told, clock.now());
		tellQuarantined(news);
		for (const suspect of news) {
			options.gossip().add(suspect);
		}
	};

	return {
		lookUp(request) {
			const suspect = table.lookUp(
				request.path,
				() => partsOf(request, headerNames),
				clock.now(),
			);
			if (suspect && isQuarantined(suspect)) {
				refused.set(suspect.identity, suspect);
			}

			return suspect;
		},
		noteCrash(runs) {
			const changed = table.noteCrash(runs, clock.now());
			tellQuarantined(changed);
			spread(changed);
			return changed;
		},
		noteAnswer(request) {
			const suspect = table.lookUp(
				request.path,
				() => partsOf(request, headerNames),
				clock.now(),
			);
			if (!suspect) {
				return;
			}

			const isKnownElsewhere = isIsolated(suspect);
			const cleared = table.clear(suspect.identity, clock.now());
			if (cleared && isKnownElsewhere) {
				spread([cleared]);
			}
		},
		take({suspects}) {
			merge(suspects.map((tuple) => toSuspect(tuple)));
		},
		takeStored: merge,
		greeting() {
			const suspects = table.list(mostInGreeting);
			return suspects.length === 0 ? [] : [toMessage(suspects)];
		},
		start(ticker) {
			ticker.schedule(expiryPeriod, () => {
				table.expire(clock.now());
			});
			ticker.schedule(renewalPeriod, () => {
				if (refused.size > 0) {
					options.register().note([...refused.values()]);
					refused.clear();
				}
			});
		},
	};
}

/** The message that tells of suspects. */
export function toMessage(suspects: readonly Suspect[]): SuspectsMessage {
	return {
		kind: 'suspects',
		suspects: suspects.map((suspect) => toTuple(suspect)),
	};
}
