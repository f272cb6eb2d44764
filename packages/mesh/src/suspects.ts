/** The quarantine of a mesh node: by requests as they are handed over, over links, gossip and the store. */
import {
	createQuarantine,
	expiryInterval,
	renewalInterval,
	toSuspect,
	toTuple,
	type Quarantine,
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
import type {Ticker} from './ticker.js';

/** What the quarantine needs. */
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
type KnownRequest = Pick<HandedRequest, 'method' | 'path' | 'headers' | 'body'>;

/** The quarantine. */
export type Suspects = Pick<Quarantine, 'recordCrash'> & {
	/** What is known of the request; undefined when no target crashed under it. */
	lookUp(request: KnownRequest): Suspect | undefined;
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

/** Creates the quarantine of a node that has heard of nothing. */
export function createSuspects(options: SuspectsOptions): Suspects {
	const {headerNames, reporter} = options;
	const quarantine = createQuarantine({
		clock: options.clock,
		broadcast(suspects) {
			options.tellAll(toMessage(suspects));
		},
		gossip(suspects) {
			for (const suspect of suspects) {
				options.gossip().add(suspect);
			}
		},
		persist(suspects) {
			options.register().note(suspects);
		},
		onQuarantined({identity, crashes}) {
			reporter.notice('requestQuarantined', {identity, crashes});
		},
	});

	return {
		recordCrash: quarantine.recordCrash,
		lookUp: (request) =>
			quarantine.lookUp(request.path, request.body?.byteLength ?? 0, () =>
				partsOf(request, headerNames),
			),
		noteAnswer(request) {
			quarantine.recordAnswer(request.path, request.body?.byteLength ?? 0, () =>
				partsOf(request, headerNames),
			);
		},
		take({suspects}) {
			quarantine.receive(suspects.map((tuple) => toSuspect(tuple)));
		},
		takeStored: quarantine.receive,
		greeting() {
			const suspects = quarantine.list();
			return suspects.length === 0 ? [] : [toMessage(suspects)];
		},
		start(ticker) {
			ticker.schedule(expiryInterval, quarantine.expire);
			ticker.schedule(renewalInterval, quarantine.renew);
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
