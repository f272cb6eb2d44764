/** A fleet of quota exchanges on a virtual clock, with links that can be cut, and the callers of one workspace. */
import {createRandom, createVirtualClock} from '@egretspoke/shared';
import type {Member, PeerMessage} from '../src/links/peer-message.js';
import {
	createQuotaExchange,
	type QuotaExchange,
} from '../src/quotas/quota-exchange.js';
import {createAllocators} from '../src/quotas/allocators.js';
import {createTicker} from '../src/timing/ticker.js';
import type {Workspace} from '../src/quotas/workspace.js';

/** The result of one request. */
export type PlayedRequest = {at: number; isAdmitted: boolean};

/** The structure of a fleet. */
export type FleetOptions = {
	nodes: number;
	dataCentres: number;
	workspace: Workspace;
	seed: number;
};

/** The delay between two nodes, in milliseconds. */
const linkDelay = 5;

type FleetNode = {
	member: Member;
	exchange: QuotaExchange;
	controller: AbortController;
};

/** Creates a fleet in which every node has all others as members. */
export function createQuotaFleet(options: FleetOptions) {
	const clock = createVirtualClock();
	const random = createRandom(options.seed);
	let workspaces = [options.workspace];
	const requests: PlayedRequest[] = [];
	const isDown = new Set<string>();
	let isCut: (from: Member, to: Member) => boolean = () => false;

	const members = Array.from({length: options.nodes}, (_, index): Member => ({
		node: `node-${index}`,
		address: `10.0.0.${index}:7620`,
		dataCentre: `centre-${index % options.dataCentres}`,
		service: 'any',
		startedAt: 1,
	}));
	const nodes = new Map<string, FleetNode>();

	const isLinked = (from: Member, to: string) => {
		const other = nodes.get(to);
		return other !== undefined && !isDown.has(to) && !isCut(from, other.member);
	};

	const deliver = (from: FleetNode, to: string, message: PeerMessage) => {
		clock.setTimer(linkDelay, () => {
			const receiver = nodes.get(to);
			if (
				message.kind !== 'quotaUse' ||
				!receiver ||
				!isLinked(from.member, to)
			) {
				return;
			}

			receiver.exchange.receiveUse(message, (reply) => {
				clock.setTimer(linkDelay, () => {
					const isDelivered =
						reply.kind === 'quotaGrant' &&
						isLinked(receiver.member, from.member.node) &&
						nodes.get(from.member.node) === from;
					if (isDelivered) {
						from.exchange.receiveGrant(reply);
					}
				});
			});
		});
	};

	const start = (member: Member) => {
		const controller = new AbortController();
		const directory = () => ({
			members: () => members.filter((other) => other !== member),
			isLinked: (to: string) => isLinked(member, to),
			send(to: string, message: PeerMessage) {
				deliver(node, to, message);
			},
		});
		const exchange = createQuotaExchange({
			clock,
			random: random.fork(),
			self: member,
			directory,
			allocators: createAllocators({self: member, directory}),
			isMembershipKnown: () => true,
			workspaces: () => workspaces,
			tolerance: {window: 5000, overage: 0.1, slack: 20},
		});
		const node: FleetNode = {member, exchange, controller};
		nodes.set(member.node, node);
		exchange.start(createTicker(clock, controller.signal));
	};

	for (const member of members) {
		// The nodes' periods start at different times.
		clock.setTimer(random.fraction() * 300, () => {
			start(member);
		});
	}

	clock.advanceTo(3000);

	return {
		clock,
		requests,
		members,
		/** Sends requests at a mean rate until the given time, to nodes drawn by weight. */
		ask(
			perSecond: number,
			until: number,
			weightOf: (member: Member) => number,
		) {
			const weighted = members.map((member) => ({
				member,
				weight: weightOf(member),
			}));
			const total = weighted.reduce((sum, {weight}) => sum + weight, 0);
			const draw = () => {
				let left = random.fraction() * total;
				for (const {member, weight} of weighted) {
					left -= weight;
					if (left < 0) {
						return member;
					}
				}

				return weighted.at(-1)!.member;
			};

			while (clock.now() < until) {
				const gap = (-Math.log(1 - random.fraction()) * 1000) / perSecond;
				clock.advanceTo(clock.now() + gap);
				const {node} = draw();
				if (!isDown.has(node)) {
					const {exchange} = nodes.get(node)!;
					const isAdmitted = exchange.allows(workspaces[0]!);
					if (isAdmitted) {
						exchange.recordAdmitted(workspaces[0]!);
					}

					requests.push({at: clock.now(), isAdmitted});
				}
			}
		},
		cut(isNowCut: (from: Member, to: Member) => boolean) {
			isCut = isNowCut;
		},
		/** Stops nodes immediately, and starts them again without their state. */
		restart(isAffected: (member: Member) => boolean, downTime: number) {
			for (const member of members.filter((one) => isAffected(one))) {
				isDown.add(member.node);
				nodes.get(member.node)?.controller.abort();
				clock.setTimer(downTime * (0.5 + random.fraction()), () => {
					isDown.delete(member.node);
					start(member);
				});
			}
		},
		limit(changed: Workspace) {
			workspaces = [changed];
		},
	};
}

/** The maximum number of requests admitted within any window of the given length. */
export function maxWithin(requests: PlayedRequest[], span: number): number {
	const instants = requests
		.filter(({isAdmitted}) => isAdmitted)
		.map(({at}) => at);
	let first = 0;
	let max = 0;
	for (const [index, at] of instants.entries()) {
		while (instants[first]! <= at - span) {
			first++;
		}

		max = Math.max(max, index - first + 1);
	}

	return max;
}
