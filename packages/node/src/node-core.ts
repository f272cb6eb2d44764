/**
 * The core of a node: entry, ingress and peers put together over interfaces,
 * without a listener, a process or a clock of its own. The process puts the
 * real ones in, the fault schedules put in fakes.
 */
import {
	createLedger,
	type AttemptHandler,
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
import {
	chainPriority,
	createDownstreamLevels,
	type AdmissionPolicy,
	type DownstreamLevels,
	type Policy,
} from '@egretspoke/decisions';
import type {Clock, Random} from '@egretspoke/shared';
import type {Suspect} from '@egretspoke/quarantine';
import {createAttemptSender} from './attempt-sender.js';
import {createEntry, type Entry} from './entry.js';
import {refuseHere, refuseUnknown} from './entry-refusal.js';
import {createMemberDirectory} from './member-directory.js';
import type {ExchangeResult} from './exchange-table.js';
import {createIdleCounter} from './idle-counter.js';
import {readOperation} from './call-facts.js';
import {createIngress, type Ingress} from './ingress.js';
import type {PeerTransport} from './message-channel.js';
import {createNodeQuarantine, type NodeQuarantine} from './node-quarantine.js';
import type {NodeReporter} from './node-reporter.js';
import {createPauseWatch} from './pause-watch.js';
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
	/** Keeps requests that crash targets beyond the life of this process. */
	keepSuspects: (suspects: Suspect[]) => void;
	/** How the home handles a key; only tests take another than `attemptAtMostOnce`. */
	attemptHandler?: AttemptHandler;
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
	quarantine: NodeQuarantine;
	/** Requests in progress here, of callers and of other nodes, each counted once. */
	open(): number;
	/** Undefined until the target has announced itself. */
	ingress(): Ingress | undefined;
	/** Takes the target's announcement; a second one replaces the first. */
	announce(target: CoreTarget): void;
	/** To be called when members have changed in more than their heartbeat. */
	membersChanged(): void;
	/** True when some member's target serves it. */
	isServed(service: string): boolean;
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
	const directory = createMemberDirectory();
	const ledger = createLedger({clock, ...context.ledger});
	const below = createDownstreamLevels();
	const pauses = createPauseWatch(clock, supervisor.signal);
	const routing = policy.createRouting({
		downstreamLevels: below,
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

	const quarantine = createNodeQuarantine({
		clock,
		random: context.random.fork(),
		reporter,
		self: self.node,
		members: () => control.members(),
		tell(address, message) {
			void peers.tell(address, message);
		},
		keep: context.keepSuspects,
		signal: supervisor.signal,
	});

	let ingress: TargetIngress | undefined;
	const fromPeers = createIdleCounter();

	const runHere = async (
		request: CallRequest,
		signal: AbortSignal,
	): Promise<ExchangeResult> => {
		if (ingress?.service !== request.service) {
			return {outcome: refuseHere(ErrorCode.NoTarget, 0)};
		}

		const outcome = await ingress.run(request, signal);
		return {outcome, load: ingress.report(readOperation(request))};
	};

	const handleCall: Record<
		CallMessage['role'],
		(message: CallMessage, signal: AbortSignal) => Promise<ExchangeResult>
	> = {
		run: async ({request}, signal) =>
			fromPeers.during(async () => runHere(request, signal)),
		async pass({request, home}, signal) {
			const outcome =
				home === formatHome(self)
					? await entry.handleAtHome(request, signal)
					: refuseUnknown(ErrorCode.HomeGone);
			return {outcome};
		},
	};

	const peers = createPeers({
		clock,
		transport: context.transport,
		self: self.node,
		nodeAt: (address) => directory.nodeAt(address),
		supervisor: supervisor.branch('peers'),
		services: {
			reporter,
			async call(message, signal) {
				const {request} = message;
				const timeLeft = request.timeLeft - pauses.possibleAge();
				const aged = {...message, request: {...request, timeLeft}};
				return handleCall[message.role](aged, signal);
			},
			probe: (message) => control.receiveProbe(message),
			configurationBody: () => control.configurationBody(),
			takeSuspects: quarantine.take,
			greeting: quarantine.greeting,
		},
	});

	const send = createAttemptSender({
		clock,
		routing,
		reporter,
		async path(node, request, signal) {
			const member = directory.byNode(node);
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
		...(context.attemptHandler && {attemptHandler: context.attemptHandler}),
		running,
		reporter,
		quarantine,
		refusalOf,
		keyLifetime: context.ledger.maximumLifetime,
		possibleAge: pauses.possibleAge,
		priorityOf: (request) => chainPriority(below, request),
		classify: (service, method, path) =>
			control.classify(service, method, path),
		async passToHome(home, request, signal) {
			const member = directory.byNode(home.node);
			if (!member || home.node === self.node) {
				return {outcome: refuseUnknown(ErrorCode.HomeGone)};
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
			ingress = createTargetIngress(context, target, {
				running,
				below,
				quarantine,
				refusalOf,
			});
		},
		peers,
		ledger,
		quarantine,
		open: () => entry.open() + fromPeers.count(),
		isServed: (service) => directory.isServed(service),
		membersChanged() {
			const now = clock.now();
			for (const [service, list] of directory.update(control.members(), now)) {
				routing.candidatesChanged(service, list, now);
			}
		},
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
			await fromPeers.whenIdle();
			await entry.whenIdle();
		},
	};
}

type TargetIngress = Ingress & {service: string};

type IngressParts = {
	running: RunningRequests;
	below: DownstreamLevels;
	quarantine: NodeQuarantine;
	refusalOf: () => ErrorCode | undefined;
};

function createTargetIngress(
	{clock, dataCentre, policy, random, reporter}: NodeCoreContext,
	{announcement, client}: CoreTarget,
	{running, below, quarantine, refusalOf}: IngressParts,
): TargetIngress {
	const admission: AdmissionPolicy = policy.createAdmission({
		downstreamLevels: below,
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
			quarantine,
			refusalOf,
		}),
	};
}
