/** Sends one probe and takes in its acknowledgement; the rounds made of several. */
import type {AcknowledgementMessage, ProbeMessage} from '@egretspoke/protocol';
import {sample, sleep, type Clock, type Random} from '@egretspoke/shared';
import type {MemberView} from './member-view.js';
import {
	gossipLimits,
	minRoundInterval,
	gossipFanout,
	type MembershipTiming,
} from './membership-timing.js';

/** Sends a probe to a peer listener; undefined when no acknowledgement came. Never rejects. */
export type SendProbe = (
	address: string,
	probe: ProbeMessage,
	signal: AbortSignal,
) => Promise<AcknowledgementMessage | undefined>;

/** What a probe asks for and how many news it brings. */
export type ExchangeOptions = {whole?: boolean; limit?: number};

/** The sending side of membership. */
export type ProbeExchange = {
	/** One probe; undefined when it failed or timed out. */
	exchange(
		address: string,
		recipient?: string,
		options?: ExchangeOptions,
	): Promise<AcknowledgementMessage | undefined>;
	/** Tells some members the news now. */
	gossipNow(): Promise<void>;
	/** The same, at most once a pause; calls within a pause share one round. */
	gossip(): Promise<void>;
	/** Asks some of these addresses for all members; the number that answered. */
	join(addresses: string[]): Promise<number>;
	/** When all members were last asked for, by the clock. */
	lastFullSyncAt(): number;
};

/** Addresses asked for all members by one `join`. */
const joinFanout = 3;

/** Creates the sending side of one node. */
export function createProbeExchange(options: {
	view: MemberView;
	clock: Clock;
	random: Random;
	timing: MembershipTiming;
	send: SendProbe;
	onAcknowledgement: (
		message: AcknowledgementMessage,
		isWhole: boolean,
	) => void;
}): ProbeExchange {
	const {view, clock, random, timing, send, onAcknowledgement} = options;
	let sequence = 0;
	let pendingRound: Promise<void> | undefined;
	let lastRoundAt = Number.NEGATIVE_INFINITY;
	let lastFullSyncAt = Number.NEGATIVE_INFINITY;

	const exchange: ProbeExchange['exchange'] = async (
		address,
		recipient,
		{whole = false, limit = gossipLimits.probe} = {},
	) => {
		const abort = new AbortController();
		const timer = clock.setTimer(timing.probeTimeout, () => {
			abort.abort();
		});
		const probe: ProbeMessage = {
			type: 'probe',
			sequence: sequence++,
			members: view.gossipFor(recipient, limit),
			configurationVersion: view.self().configurationVersion,
			...(whole && {whole}),
		};
		const answer = await Promise.race([
			send(address, probe, abort.signal),
			waitForAbort(abort.signal),
		]);
		timer.cancel();
		if (answer) {
			onAcknowledgement(answer, whole);
		}

		return answer;
	};

	const gossipNow = async () => {
		lastRoundAt = clock.now();
		const chosen = sample(view.present(), gossipFanout, random);
		await Promise.all(
			chosen.map(async ({peerAddress, node}) =>
				exchange(peerAddress, node, {limit: gossipLimits.round}),
			),
		);
	};

	const gossipAfterInterval = async () => {
		const wait = Math.max(0, lastRoundAt + minRoundInterval - clock.now());
		await sleep(clock, wait);
		pendingRound = undefined;
		await gossipNow();
	};

	return {
		exchange,
		gossipNow,
		async gossip() {
			pendingRound ??= gossipAfterInterval();
			return pendingRound;
		},
		async join(addresses) {
			const own = view.self().peerAddress;
			const others = [...new Set(addresses)].filter((each) => each !== own);
			const chosen = sample(others, joinFanout, random);
			lastFullSyncAt = clock.now();
			const answers = await Promise.all(
				chosen.map(async (address) =>
					exchange(address, undefined, {whole: true}),
				),
			);
			return answers.filter(Boolean).length;
		},
		lastFullSyncAt: () => lastFullSyncAt,
	};
}

async function waitForAbort(signal: AbortSignal): Promise<undefined> {
	return new Promise((resolve) => {
		signal.addEventListener('abort', () => {
			resolve(undefined);
		});
	});
}
