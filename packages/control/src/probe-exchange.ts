/** Sends one probe and takes in its acknowledgement; the rounds made of several. */
import type {AcknowledgementMessage, ProbeMessage} from '@egretspoke/protocol';
import {sample, sleep, type Clock, type Random} from '@egretspoke/shared';
import type {MemberView} from './member-view.js';
import {
	newsLimits,
	spreadPause,
	spreadWidth,
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
		addressee?: string,
		options?: ExchangeOptions,
	): Promise<AcknowledgementMessage | undefined>;
	/** Tells some members the news now. */
	spreadNow(): Promise<void>;
	/** The same, at most once a pause; calls within a pause share one round. */
	spread(): Promise<void>;
	/** Asks some of these addresses for all members; the number that answered. */
	join(addresses: string[]): Promise<number>;
	/** When all members were last asked for, by the clock. */
	lastJoin(): number;
};

/** Addresses asked for all members by one `join`. */
const joinWidth = 3;

/** Creates the sending side of one node. */
export function createProbeExchange(options: {
	view: MemberView;
	clock: Clock;
	random: Random;
	timing: MembershipTiming;
	send: SendProbe;
	takeIn: (message: AcknowledgementMessage, isWhole: boolean) => void;
}): ProbeExchange {
	const {view, clock, random, timing, send, takeIn} = options;
	let sequence = 0;
	let spreadDue: Promise<void> | undefined;
	let lastSpread = Number.NEGATIVE_INFINITY;
	let lastJoin = Number.NEGATIVE_INFINITY;

	const exchange: ProbeExchange['exchange'] = async (
		address,
		addressee,
		{whole = false, limit = newsLimits.probe} = {},
	) => {
		const abort = new AbortController();
		const timer = clock.setTimer(timing.probeTimeout, () => {
			abort.abort();
		});
		const probe: ProbeMessage = {
			type: 'probe',
			sequence: sequence++,
			members: view.news(addressee, limit),
			configurationVersion: view.self().configurationVersion,
			...(whole && {whole}),
		};
		const answer = await Promise.race([
			send(address, probe, abort.signal),
			waitForAbort(abort.signal),
		]);
		timer.cancel();
		if (answer) {
			takeIn(answer, whole);
		}

		return answer;
	};

	const spreadNow = async () => {
		lastSpread = clock.now();
		const chosen = sample(view.present(), spreadWidth, random);
		await Promise.all(
			chosen.map(async ({peerAddress, node}) =>
				exchange(peerAddress, node, {limit: newsLimits.spread}),
			),
		);
	};

	const spreadAfterPause = async () => {
		const wait = Math.max(0, lastSpread + spreadPause - clock.now());
		await sleep(clock, wait);
		spreadDue = undefined;
		await spreadNow();
	};

	return {
		exchange,
		spreadNow,
		async spread() {
			spreadDue ??= spreadAfterPause();
			return spreadDue;
		},
		async join(addresses) {
			const own = view.self().peerAddress;
			const others = [...new Set(addresses)].filter((each) => each !== own);
			const chosen = sample(others, joinWidth, random);
			lastJoin = clock.now();
			const answers = await Promise.all(
				chosen.map(async (address) =>
					exchange(address, undefined, {whole: true}),
				),
			);
			return answers.filter(Boolean).length;
		},
		lastJoin: () => lastJoin,
	};
}

async function waitForAbort(signal: AbortSignal): Promise<undefined> {
	return new Promise((resolve) => {
		signal.addEventListener('abort', () => {
			resolve(undefined);
		});
	});
}
