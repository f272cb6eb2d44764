/**
 * The quarantine of a node. Crash records are shared over the connections to
 * peers and the platform's table.
 */
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

/** The parts of a call that identify it. */
export type CallIdentity = {
	service: string;
	method: string;
	path: string;
	caller: string;
	body: Uint8Array;
};

/** Dependencies of the quarantine. */
export type NodeQuarantineOptions = {
	clock: Clock;
	random: Random;
	reporter: NodeReporter;
	/** All known members, including this node. */
	members: () => readonly Member[];
	/** This node's name. */
	self: string;
	sendSuspects: (address: string, message: SuspectsMessage) => void;
	/** Persists suspects beyond the life of this process. */
	persistSuspects: (suspects: Suspect[]) => void;
	signal: AbortSignal;
};

/** The quarantine. */
export type NodeQuarantine = {
	/** The suspect record of the call; undefined when no target crashed while running it. */
	lookUp(call: CallIdentity): Suspect | undefined;
	/** Whether the call is quarantined, so that no target may run it; if so, the decision is recorded. */
	blocks(call: CallIdentity & {id: string}): boolean;
	recordCrash(runs: CrashedRun[]): Suspect[];
	recordAnswer(call: CallIdentity): void;
	receiveSuspects(message: SuspectsMessage): void;
	applyStoredSuspects(suspects: Suspect[]): void;
	initialMessage(): SuspectsMessage | undefined;
};

/** Number of members to which an update from another node is forwarded. */
const gossipFanout = 6;

/** Creates an empty quarantine. */
export function createNodeQuarantine(
	options: NodeQuarantineOptions,
): NodeQuarantine {
	const {clock, random, reporter, signal} = options;

	const others = () =>
		options
			.members()
			.filter(({node, state}) => node !== options.self && state !== 'gone');

	const sendToAll = (members: readonly Member[], suspects: Suspect[]) => {
		const message = toMessage(suspects);
		for (const {peerAddress} of members) {
			options.sendSuspects(peerAddress, message);
		}
	};

	const quarantine = createQuarantine({
		clock,
		broadcast(suspects) {
			sendToAll(others(), suspects);
		},
		gossip(suspects) {
			sendToAll(sample(others(), gossipFanout, random), suspects);
		},
		persist: options.persistSuspects,
		onQuarantined({identity, crashes}) {
			reporter.recordEvent({name: 'requestQuarantined', identity, crashes});
		},
	});
	void createTicks(clock, expiryInterval, signal).observe(quarantine.expire);
	void createTicks(clock, renewalInterval, signal).observe(quarantine.renew);

	const lookUp = (call: CallIdentity) =>
		quarantine.lookUp(call.path, call.body.byteLength, () =>
			toRequestParts(call),
		);

	return {
		lookUp,
		blocks(call) {
			const suspect = lookUp(call);
			if (!suspect || !isQuarantined(suspect)) {
				return false;
			}

			const {identity, crashes} = suspect;
			reporter.recordDecision({
				name: 'quarantined',
				request: call.id,
				reason: 'quarantined',
				details: {identity, crashes},
			});
			return true;
		},
		recordCrash: quarantine.recordCrash,
		recordAnswer(call) {
			quarantine.recordAnswer(call.path, call.body.byteLength, () =>
				toRequestParts(call),
			);
		},
		receiveSuspects({suspects}) {
			quarantine.receive(suspects.map((tuple) => toSuspect(tuple)));
		},
		applyStoredSuspects: quarantine.receive,
		initialMessage() {
			const suspects = quarantine.list();
			return suspects.length === 0 ? undefined : toMessage(suspects);
		},
	};
}

/** The parts of a call that its repeats share, independent of their id and key. */
export function toRequestParts({
	service,
	method,
	path,
	caller,
	body,
}: CallIdentity): RequestParts {
	return {host: service, method, path, caller, body};
}

function toMessage(suspects: readonly Suspect[]): SuspectsMessage {
	return {
		type: 'suspects',
		suspects: suspects.map((suspect) => toTuple(suspect)),
	};
}
