/** The quarantine of a mesh node: by requests as they are handed over, over links, gossip and the store. */
import {
	createQuarantine,
	expiryPeriod,
	renewalPeriod,
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
	broadcast: (message: PeerMessage) => void;
	gossip: () => Pick<Gossip<Suspect>, 'add'>;
	register: () => Pick<SuspectRegister, 'record'>;
};

/** The parts of a request by which it is known. */
type KnownRequest = Pick<HandedRequest, 'method' | 'path' | 'headers' | 'body'>;

/** The quarantine. */
export type Suspects = Pick<Quarantine, 'noteCrash'> & {
	/** What is known of the request; undefined when no target crashed under it. */
	lookUp(request: KnownRequest): Suspect | undefined;
	/** The target beside this node answered the request. */
	recordAnswer(request: KnownRequest): void;
	/** Takes what a peer told. */
	receive(message: SuspectsMessage): void;
	/** Takes what lies in the store. */
	applyStored(suspects: Suspect[]): void;
	/** What a newly linked node has to know; nothing when there is nothing. */
	initialMessages(): SuspectsMessage[];
	start(ticker: Ticker): void;
};

/** Creates the quarantine of a node that has heard of nothing. */
export function createSuspects(options: SuspectsOptions): Suspects {
	const {headerNames, reporter} = options;
	const quarantine = createQuarantine({
		clock: options.clock,
		spread(suspects) {
			options.broadcast(toMessage(suspects));
		},
		passOn(suspects) {
			for (const suspect of suspects) {
				options.gossip().add(suspect);
			}
		},
		keep(suspects) {
			options.register().record(suspects);
		},
		onQuarantined({identity, crashes}) {
			reporter.notice('requestQuarantined', {identity, crashes});
		},
	});

	return {
		noteCrash: quarantine.noteCrash,
		lookUp: (request) =>
			quarantine.lookUp(request.path, request.body?.byteLength ?? 0, () =>
				partsOf(request, headerNames),
			),
		recordAnswer(request) {
			quarantine.noteAnswer(request.path, request.body?.byteLength ?? 0, () =>
				partsOf(request, headerNames),
			);
		},
		receive({suspects}) {
			quarantine.take(suspects.map((tuple) => toSuspect(tuple)));
		},
		applyStored: quarantine.take,
		initialMessages() {
			const suspects = quarantine.list();
			return suspects.length === 0 ? [] : [toMessage(suspects)];
		},
		start(ticker) {
			ticker.schedule(expiryPeriod, quarantine.expire);
			ticker.schedule(renewalPeriod, quarantine.renew);
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
