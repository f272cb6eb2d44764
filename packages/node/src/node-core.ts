/**
 * The core of a node: entry, ingress and peers put together over interfaces,
 * without a listener, a process or a clock of its own. The process puts the
 * real ones in, the fault schedules put in fakes.
 */
import {
	createLedger,
	type Ledger,
	type LedgerOptions,
} from '@egretspoke/ledger';
import {
	ErrorCode,
	formatHome,
	parseHome,
	type AcknowledgementMessage,
	type CallMessage,
	type CallRequest,
	type ConfigurationBodyMessage,
	type Home,
	type Member,
	type ProbeMessage,
	type TargetAnnouncement,
} from '@egretspoke/protocol';
import type {
	AdmissionPolicy,
	Policy,
	RoutingCandidate,
	RoutingPolicy,
} from '@egretspoke/decisions';
import type {Clock, Random} from '@egretspoke/shared';
import {createAttemptSender} from './attempt-sender.js';
import {createEntry, type Entry} from './entry.js';
import {refuseHere} from './entry-refusal.js';
import type {ExchangeResult} from './exchange-table.js';
import {createIngress, type Ingress} from './ingress.js';
import type {PeerTransport} from './message-channel.js';
import type {NodeReporter} from './node-reporter.js';
import {createPeers, type Peers} from './peers.js';
import type {Classification} from './request-chain.js';
import {
	createRunningRequests,
	type RunningRequests,
} from './running-requests.js';
import type {Supervisor} from './supervisor.js';
import type {TargetClient} from './target-client.js';

/** What the core takes from configuration and membership. */
export type CoreControl = {
	/** Undefined for a service that nobody configured or announced. */
	classify(
		service: string,
		method: string,
		path: string,
	): Classification | undefined;
	/** All members known, this node included. */
	members(): readonly Member[];
	/** True after a pause beyond the lease, until the node has announced itself again. */
	isSuspended(): boolean;
	receiveProbe(message: ProbeMessage): AcknowledgementMessage;
	configurationBody(): ConfigurationBodyMessage | undefined;
};

/** What a core is built from. */
export type NodeCoreContext = {
	clock: Clock;
	random: Random;
	/** The node and this process's start; the home of the keys it takes. */
	self: Home;
	dataCentre: string;
	policy: Policy;
	transport: PeerTransport;
	supervisor: Supervisor;
	reporter: NodeReporter;
	control: CoreControl;
	ledger: Omit<LedgerOptions, 'clock'>;
};

/** The target beside the node, once it has announced itself. */
export type CoreTarget = {
	announcement: TargetAnnouncement;
	client: TargetClient;
};

/** A node's core. */
export type NodeCore = {
	entry: Entry;
	peers: Peers;
	ledger: Ledger;
	/** Undefined until the target has announced itself. */
	ingress(): Ingress | undefined;
	/** Takes the target's announcement; a second one replaces the first. */
	announce(target: CoreTarget): void;
	/** To be called when members have changed. */
	membersChanged(): void;
	/** No new work for the target from now on; the entry still serves. */
	leave(): void;
	/** The target takes work again after a `leave`. */
	rejoin(): void;
	/** Refuses everything new, and resolves when nothing is in flight. */
	drain(): Promise<void>;
};

/** Creates the core of one node. */
export function createNodeCore(context: NodeCoreContext): NodeCore {
	const {clock, control, policy, reporter, self, supervisor} = context;
	const running = createRunningRequests();
	const ledger = createLedger({clock, ...context.ledger});
	const routing = policy.createRouting({
		dataCentre: context.dataCentre,
		random: context.random.fork(),
	});
	let isDraining = false;

	const refusalOf = (): ErrorCode | undefined => {
		if (isDraining) {
			return ErrorCode.Leaving;
		}

		return control.isSuspended() ? ErrorCode.NodeSuspended : undefined;
	};

	let ingress: TargetIngress | undefined;

	const runHere = async (
		request: CallRequest,
		signal: AbortSignal,
	): Promise<ExchangeResult> => {
		if (ingress?.service !== request.service) {
			return {outcome: refuseHere(ErrorCode.NoTarget, 0)};
		}

		const outcome = await ingress.run(request, signal);
		return {outcome, load: ingress.report()};
	};

	const handleCall: Record<
		CallMessage['role'],
		(message: CallMessage, signal: AbortSignal) => Promise<ExchangeResult>
	> = {
		run: async ({request}, signal) => runHere(request, signal),
		async pass({request, home}, signal) {
			const outcome =
				home === formatHome(self)
					? await entry.handleAtHome(request, signal)
					: refuseHere(ErrorCode.HomeGone);
			return {outcome};
		},
	};

	const peers = createPeers({
		clock,
		transport: context.transport,
		supervisor: supervisor.branch('peers'),
		services: {
			reporter,
			call: async (message, signal) =>
				handleCall[message.role](message, signal),
			probe: (message) => control.receiveProbe(message),
			configurationBody: () => control.configurationBody(),
		},
	});

	const findMember = (node: string) =>
		control.members().find((member) => member.node === node);

	const send = createAttemptSender({
		clock,
		routing,
		reporter,
		async path(node, request, signal) {
			const member = findMember(node);
			if (node === self.node || !member) {
				return runHere(request, signal);
			}

			return peers.call(member, request, {role: 'run'}, signal);
		},
	});

	const entry = createEntry({
		clock,
		self,
		routing,
		send,
		ledger,
		running,
		reporter,
		refusalOf,
		classify: (service, method, path) =>
			control.classify(service, method, path),
		async passToHome(home, request, signal) {
			const member = findMember(home.node);
			if (!member || home.node === self.node) {
				return {outcome: refuseHere(ErrorCode.HomeGone)};
			}

			const options = {role: 'pass' as const, home: formatHome(home)};
			return peers.call(member, request, options, signal);
		},
	});

	return {
		entry,
		ingress: () => ingress,
		announce(target) {
			// Requests at the target go on under the old limits to their ends.
			ingress?.leave();
			ingress = createTargetIngress(context, target, running, refusalOf);
		},
		peers,
		ledger,
		membersChanged: createCandidateUpdater(context, routing),
		leave() {
			if (!ingress?.isLeaving()) {
				reporter.notice({name: 'leaving', reason: 'asked to leave'});
			}

			ingress?.leave();
		},
		rejoin() {
			ingress?.rejoin();
		},
		async drain() {
			isDraining = true;
			ingress?.leave();
			await ingress?.whenIdle();
			await entry.whenIdle();
		},
	};
}

type TargetIngress = Ingress & {service: string};

function createTargetIngress(
	{clock, dataCentre, policy, random, reporter}: NodeCoreContext,
	{announcement, client}: CoreTarget,
	running: RunningRequests,
	refusalOf: () => ErrorCode | undefined,
): TargetIngress {
	const admission: AdmissionPolicy = policy.createAdmission({
		dataCentre,
		random: random.fork(),
		service: announcement.service,
		slots: announcement.slots,
	});
	return {
		service: announcement.service,
		...createIngress({
			clock,
			admission,
			target: client,
			announcement,
			running,
			reporter,
			refusalOf,
		}),
	};
}

const candidateStates: Partial<
	Record<Member['state'], RoutingCandidate['state']>
> = {active: 'active', suspect: 'suspect', leaving: 'leaving'};

/** Keeps the router's candidates as the members stand. */
function createCandidateUpdater(
	{clock, control}: NodeCoreContext,
	routing: RoutingPolicy,
): () => void {
	const since = new Map<string, number>();
	let services = new Set<string>();

	return () => {
		const now = clock.now();
		const byService = new Map<string, RoutingCandidate[]>();
		const seen = new Set<string>();
		for (const member of control.members()) {
			const state = candidateStates[member.state];
			if (!member.target || !state) {
				continue;
			}

			const start = `${member.node}@${member.incarnation}`;
			seen.add(start);
			since.set(start, since.get(start) ?? now);
			const list = byService.get(member.target.service) ?? [];
			byService.set(member.target.service, list);
			list.push({
				node: member.node,
				dataCentre: member.dataCentre,
				slots: member.target.slots,
				connections: member.target.connections,
				since: since.get(start)!,
				state,
			});
		}

		for (const start of since.keys()) {
			if (!seen.has(start)) {
				since.delete(start);
			}
		}

		for (const service of new Set([...services, ...byService.keys()])) {
			routing.candidatesChanged(service, byService.get(service) ?? [], now);
		}

		services = new Set(byService.keys());
	};
}
