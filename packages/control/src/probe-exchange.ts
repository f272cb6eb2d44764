/** Sends probes and applies their acknowledgements; gossip rounds and full syncs are made of several. */
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

/** `whole` requests all members; `limit` is the maximum number of gossiped records. */
export type ExchangeOptions = {whole?: boolean; limit?: number};

/** The sending side of membership. */
export type ProbeExchange = {
	/** Sends one probe; resolves with undefined when it failed or timed out. */
	exchange(
		address: string,
		recipient?: string,
		options?: ExchangeOptions,
	): Promise<AcknowledgementMessage | undefined>;
	/** Sends recent changes to some members now. */
	gossipNow(): Promise<void>;
	/** The same, rate-limited; calls within `minRoundInterval` share one round. */
	gossip(): Promise<void>;
	/** Requests all members from some of these addresses; resolves with the number of responses. */
	join(addresses: string[]): Promise<number>;
	/** When all members were last requested, in milliseconds of the clock. */
	lastFullSyncAt(): number;
};

/** Maximum number of addresses that one `join` sends requests to. */
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
		let answer: AcknowledgementMessage | undefined;
		try {
			answer = await Promise.race([
				send(address, probe, abort.signal),
				waitForAbort(abort.signal),
			]);
		} finally {
			timer.cancel();
		}

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
