/** The quarantine of a mesh node: looks up requests by their parts, and shares suspects over links, gossip and the store. */
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
import type {ForwardedRequest} from '../links/exchange.js';
import type {Gossip} from '../members/gossip.js';
import type {HeaderNames} from '../configuration/header-names.js';
import type {MeshReporter} from '../mesh-reporter.js';
import type {PeerMessage, SuspectsMessage} from '../links/peer-message.js';
import {partsOf} from '../entry/request-parts.js';
import type {Ticker} from '../timing/ticker.js';
import type {SuspectRegister} from './suspect-register.js';

/** Options of `createSuspects`. */
export type SuspectsOptions = {
	clock: Clock;
	headerNames: Pick<HeaderNames, 'workspace'>;
	reporter: MeshReporter;
	/** Sends a message to every linked node. */
	broadcast: (message: PeerMessage) => void;
	gossip: () => Pick<Gossip<Suspect>, 'add'>;
	register: () => Pick<SuspectRegister, 'record'>;
};

/** The parts of a request that identify it. */
type IdentifiableRequest = Pick<
	ForwardedRequest,
	'method' | 'path' | 'headers' | 'body'
>;

/** The quarantine of the node. */
export type Suspects = Pick<Quarantine, 'recordCrash'> & {
	/** Returns the crashes recorded for the request; undefined if no target crashed under it. */
	lookUp(request: IdentifiableRequest): Suspect | undefined;
	/** Records that the local target answered the request. */
	recordAnswer(request: IdentifiableRequest): void;
	/** Applies suspects received from a peer. */
	receive(message: SuspectsMessage): void;
	/** Applies suspects read from the store. */
	applyStored(suspects: Suspect[]): void;
	/** Returns the messages for a newly linked node; empty if there are no suspects. */
	initialMessages(): SuspectsMessage[];
	start(ticker: Ticker): void;
};

/** Creates a quarantine without suspects. */
export function createSuspects(options: SuspectsOptions): Suspects {
	const {headerNames, reporter} = options;
	const quarantine = createQuarantine({
		clock: options.clock,
		broadcast(suspects) {
			options.broadcast(toMessage(suspects));
		},
		gossip(suspects) {
			for (const suspect of suspects) {
				options.gossip().add(suspect);
			}
		},
		persist(suspects) {
			options.register().record(suspects);
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
		recordAnswer(request) {
			quarantine.recordAnswer(request.path, request.body?.byteLength ?? 0, () =>
				partsOf(request, headerNames),
			);
		},
		receive({suspects}) {
			quarantine.receive(suspects.map((tuple) => toSuspect(tuple)));
		},
		applyStored: quarantine.receive,
		initialMessages() {
			const suspects = quarantine.list();
			return suspects.length === 0 ? [] : [toMessage(suspects)];
		},
		start(ticker) {
			ticker.schedule(expiryInterval, quarantine.expire);
			ticker.schedule(renewalInterval, quarantine.renew);
		},
	};
}

/** Creates a message that reports suspects. */
export function toMessage(suspects: readonly Suspect[]): SuspectsMessage {
	return {
		kind: 'suspects',
		suspects: suspects.map((suspect) => toTuple(suspect)),
	};
}
