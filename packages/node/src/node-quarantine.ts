/** The quarantine of a node: by calls, over connections to peers and the platform's table. */
import type {Member, SuspectsMessage} from '@egretspoke/protocol';
import {
	createQuarantine,
	expiryInterval,
	isQuarantined,
	renewalInterval,
	toSuspect,
	toTuple,
	type CrashedRun,
	type RequestParts,
	type Suspect,
} from '@egretspoke/quarantine';
import {createTicks, sample, type Clock, type Random} from '@egretspoke/shared';
import type {NodeReporter} from './node-reporter.js';

/** The parts of a call by which it is known. */
export type KnownCall = {
	service: string;
	method: string;
	path: string;
	caller: string;
	body: Uint8Array;
};

/** What the quarantine needs. */
export type NodeQuarantineOptions = {
	clock: Clock;
	random: Random;
	reporter: NodeReporter;
	/** All members known, this node included. */
	members: () => readonly Member[];
	/** This node's name. */
	self: string;
	tell: (address: string, message: SuspectsMessage) => void;
	/** Keeps suspects beyond the life of this process. */
	keep: (suspects: Suspect[]) => void;
	signal: AbortSignal;
};

/** The quarantine. */
export type NodeQuarantine = {
	/** What is known of the call; undefined when no target crashed under it. */
	lookUp(call: KnownCall): Suspect | undefined;
	/** Whether no target is to run the call any more; tells so if it is. */
	bars(call: KnownCall & {id: string}): boolean;
	noteCrash(runs: CrashedRun[]): Suspect[];
	noteAnswer(call: KnownCall): void;
	take(message: SuspectsMessage): void;
	takeStored(suspects: Suspect[]): void;
	greeting(): SuspectsMessage | undefined;
};

/** Members to which news of another node are passed on. */
const receivers = 6;

/** Creates the quarantine of a node that has heard of nothing. */
export function createNodeQuarantine(
	options: NodeQuarantineOptions,
): NodeQuarantine {
	const {clock, random, reporter, signal} = options;

	const others = () =>
		options
			.members()
			.filter(({node, state}) => node !== options.self && state !== 'gone');

	const tellSome = (members: readonly Member[], suspects: Suspect[]) => {
		const message = toMessage(suspects);
		for (const {peerAddress} of members) {
			options.tell(peerAddress, message);
		}
	};

	const quarantine = createQuarantine({
		clock,
		broadcast(suspects) {
			tellSome(others(), suspects);
		},
		gossip(suspects) {
			tellSome(sample(others(), receivers, random), suspects);
		},
		persist: options.keep,
		onQuarantined({identity, crashes}) {
			reporter.notice({name: 'requestQuarantined', identity, crashes});
		},
	});
	void createTicks(clock, expiryInterval, signal).observe(quarantine.expire);
	void createTicks(clock, renewalInterval, signal).observe(quarantine.renew);

	const lookUp = (call: KnownCall) =>
		quarantine.lookUp(call.path, call.body.byteLength, () => partsOf(call));

	return {
		lookUp,
		bars(call) {
			const suspect = lookUp(call);
			if (!suspect || !isQuarantined(suspect)) {
				return false;
			}

			const {identity, crashes} = suspect;
			reporter.decide({
				name: 'quarantined',
				request: call.id,
				reason: 'quarantined',
				details: {identity, crashes},
			});
			return true;
		},
		noteCrash: quarantine.recordCrash,
		noteAnswer(call) {
			quarantine.recordAnswer(call.path, call.body.byteLength, () =>
				partsOf(call),
			);
		},
		take({suspects}) {
			quarantine.receive(suspects.map((tuple) => toSuspect(tuple)));
		},
		takeStored: quarantine.receive,
		greeting() {
			const suspects = quarantine.list();
			return suspects.length === 0 ? undefined : toMessage(suspects);
		},
	};
}

/** The parts of a call that a repeat of it shares, whatever its id and its key. */
export function partsOf({
	service,
	method,
	path,
	caller,
	body,
}: KnownCall): RequestParts {
	return {host: service, method, path, caller, body};
}

function toMessage(suspects: readonly Suspect[]): SuspectsMessage {
	return {
		type: 'suspects',
		suspects: suspects.map((suspect) => toTuple(suspect)),
	};
}
