/** The quarantine of a node: by calls, over connections to peers and the platform's table. */
import type {Member, SuspectsMessage} from '@egretspoke/protocol';
import {
	createQuarantine,
	expiryPeriod,
	isQuarantined,
	renewalPeriod,
	toSuspect,
	toTuple,
	type CrashedRun,
	type RequestParts,
	type Suspect,
} from '@egretspoke/quarantine';
import {createTicks, sample, type Clock, type Random} from '@egretspoke/shared';
import type {NodeReporter} from './node-reporter.js';

/** The parts of a call by which it is known. */
export type CallIdentity = {
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
	sendSuspects: (address: string, message: SuspectsMessage) => void;
	/** Keeps suspects beyond the life of this process. */
	persistSuspects: (suspects: Suspect[]) => void;
	signal: AbortSignal;
};

/** The quarantine. */
export type NodeQuarantine = {
	/** What is known of the call; undefined when no target crashed under it. */
	lookUp(call: CallIdentity): Suspect | undefined;
	/** Whether no target is to run the call any more; tells so if it is. */
	blocks(call: CallIdentity & {id: string}): boolean;
	recordCrash(runs: CrashedRun[]): Suspect[];
	recordAnswer(call: CallIdentity): void;
	receiveSuspects(message: SuspectsMessage): void;
	applyStoredSuspects(suspects: Suspect[]): void;
	initialMessage(): SuspectsMessage | undefined;
};

/** Members to which news of another node are passed on. */
const gossipFanout = 6;

/** Creates the quarantine of a node that has heard of nothing. */
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
		spread(suspects) {
			sendToAll(others(), suspects);
		},
		passOn(suspects) {
			sendToAll(sample(others(), gossipFanout, random), suspects);
		},
		keep: options.persistSuspects,
		onQuarantined({identity, crashes}) {
			reporter.recordEvent({name: 'requestQuarantined', identity, crashes});
		},
	});
	void createTicks(clock, expiryPeriod, signal).observe(quarantine.expire);
	void createTicks(clock, renewalPeriod, signal).observe(quarantine.renew);

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
		recordCrash: quarantine.noteCrash,
		recordAnswer(call) {
			quarantine.noteAnswer(call.path, call.body.byteLength, () =>
				toRequestParts(call),
			);
		},
		receiveSuspects({suspects}) {
			quarantine.take(suspects.map((tuple) => toSuspect(tuple)));
		},
		applyStoredSuspects: quarantine.take,
		initialMessage() {
			const suspects = quarantine.list();
			return suspects.length === 0 ? undefined : toMessage(suspects);
		},
	};
}

/** The parts of a call that a repeat of it shares, whatever its id and its key. */
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
