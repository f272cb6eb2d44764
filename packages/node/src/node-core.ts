/**
 * The core of a node: entry, ingress and peers, connected through interfaces and
 * without a listener, process or clock. The process provides real
 * implementations, the fault schedules provide fakes.
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
import type {Clock, Random, Supervisor} from '@egretspoke/shared';
import type {Suspect} from '@egretspoke/quarantine';
import {createAttemptSender} from './attempt-sender.js';
import {createEntry, type Entry} from './entry.js';
import {refuseAsNotRun, refuseAsUnknown} from './entry-refusal.js';
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
import {findRequestFault} from './request-validity.js';
import {
	createRunningRequests,
	type RunningRequests,
} from './running-requests.js';
import type {TargetClient} from './target-client.js';

/** What the core requires from configuration and membership. */
export type CoreControl = {
	/** Undefined for a service that is neither configured nor announced. */
	classify(
		service: string,
		method: string,
		path: string,
	): Classification | undefined;
	/** All known members, including this node. */
	members(): readonly Member[];
	/** True after a pause longer than the lease, until the node has announced itself again. */
	isSuspended(): boolean;
	receiveProbe(message: ProbeMessage): AcknowledgementMessage;
	configurationBody(): ConfigurationBodyMessage | undefined;
};

/** Dependencies of the core. */
export type NodeCoreContext = {
	clock: Clock;
	random: Random;
	/** The node and the start of this process; the home of the keys it accepts. */
	self: Home;
	dataCentre: string;
	policy: Policy;
	transport: PeerTransport;
	supervisor: Supervisor;
	reporter: NodeReporter;
	control: CoreControl;
	ledger: Omit<LedgerOptions, 'clock'>;
	/** Persists requests that crash targets beyond the life of this process. */
	persistSuspects: (suspects: Suspect[]) => void;
	/** How the home handles a key; only tests use another handler than `attemptAtMostOnce`. */
	attemptHandler?: AttemptHandler;
};

/** The local target, once it has announced itself. */
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
	/** Number of requests in progress, of callers and of other nodes, each counted once. */
	openRequests(): number;
	/** Undefined until the target has announced itself. */
	ingress(): Ingress | undefined;
	/** Applies the announcement of the target; a second one replaces the first. */
	announce(target: CoreTarget): void;
	/** To be called when members have changed in more than their heartbeats. */
	membersChanged(): void;
	/** True when the target of a member provides the service. */
	isServed(service: string): boolean;
	/** Stops new work for the target; the entry still serves callers. */
	leave(): void;
	/** Resumes work for the target after a `leave`. */
	rejoin(): void;
	/** Refuses all new requests, and resolves when none is in flight. */
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

	const getRefusalCode = (): ErrorCode | undefined => {
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
		sendSuspects(address, message) {
			void peers.sendSuspects(address, message);
		},
		persistSuspects: context.persistSuspects,
		signal: supervisor.signal,
	});

	let ingress: TargetIngress | undefined;
	const peerRequests = createIdleCounter();

	const runLocally = async (
		request: CallRequest,
		signal: AbortSignal,
	): Promise<ExchangeResult> => {
		if (ingress?.service !== request.service) {
			return {outcome: refuseAsNotRun(ErrorCode.NoTarget, 0)};
		}

		const outcome = await ingress.run(request, signal);
		return {outcome, load: ingress.report(readOperation(request))};
	};

	const handleCall: Record<
		CallMessage['role'],
		(message: CallMessage, signal: AbortSignal) => Promise<ExchangeResult>
	> = {
		run: async ({request}, signal) =>
			peerRequests.track(async () => runLocally(request, signal)),
		async pass({request, home}, signal) {
			const outcome =
				home === formatHome(self)
					? await entry.handleAtHome(request, signal)
					: refuseAsUnknown(ErrorCode.HomeGone);
			return {outcome};
		},
	};

	const peers = createPeers({
		clock,
		transport: context.transport,
		self: self.node,
		nodeByAddress: (address) => directory.nodeByAddress(address),
		supervisor: supervisor.branch('peers'),
		services: {
			reporter,
			async call(message, signal) {
				const {request} = message;
				const fault = findRequestFault(request);
				if (fault !== undefined) {
					const code = ErrorCode.MalformedRequest;
					return {outcome: refuseAsNotRun(code, undefined, fault)};
				}

				const timeLeft = request.timeLeft - pauses.maxMessageAge();
				const aged = {...message, request: {...request, timeLeft}};
				return handleCall[message.role](aged, signal);
			},
			probe: (message) => control.receiveProbe(message),
			configurationBody: () => control.configurationBody(),
			receiveSuspects: quarantine.receiveSuspects,
			initialMessage: quarantine.initialMessage,
		},
	});

	const send = createAttemptSender({
		clock,
		routing,
		reporter,
		async path(node, request, signal) {
			const member = directory.byNode(node);
			if (node === self.node || !member) {
				return runLocally(request, signal);
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
		getRefusalCode,
		keyLifetime: context.ledger.maximumLifetime,
		maxMessageAge: pauses.maxMessageAge,
		priorityOf: (request) => chainPriority(below, request),
		classify: (service, method, path) =>
			control.classify(service, method, path),
		async forwardToHome(home, request, signal) {
			const member = directory.byNode(home.node);
			if (!member || home.node === self.node) {
				return {outcome: refuseAsUnknown(ErrorCode.HomeGone)};
			}

			const options = {role: 'pass' as const, home: formatHome(home)};
			return peers.call(member, request, options, signal);
		},
	});

	return {
		entry,
		ingress: () => ingress,
		announce(target) {
			// Requests already at the target finish under the old limits.
			ingress?.leave();
			ingress = createTargetIngress(context, target, {
				running,
				below,
				quarantine,
				getRefusalCode,
			});
		},
		peers,
		ledger,
		quarantine,
		openRequests: () => entry.openRequests() + peerRequests.count(),
		isServed: (service) => directory.isServed(service),
		membersChanged() {
			const now = clock.now();
			for (const [service, list] of directory.update(control.members(), now)) {
				routing.candidatesChanged(service, list, now);
			}
		},
		leave() {
			if (!ingress?.isLeaving()) {
				reporter.recordEvent({name: 'leaving', reason: 'asked to leave'});
			}

			ingress?.leave();
		},
		rejoin() {
			ingress?.rejoin();
		},
		async drain() {
			isDraining = true;
			ingress?.leave();
			while (peerRequests.count() + entry.openRequests() > 0) {
				// eslint-disable-next-line no-await-in-loop -- one may start while the other ends.
				await Promise.all([peerRequests.whenIdle(), entry.whenIdle()]);
			}
		},
	};
}

type TargetIngress = Ingress & {service: string};

type IngressParts = {
	running: RunningRequests;
	below: DownstreamLevels;
	quarantine: NodeQuarantine;
	getRefusalCode: () => ErrorCode | undefined;
};

function createTargetIngress(
	{clock, dataCentre, policy, random, reporter}: NodeCoreContext,
	{announcement, client}: CoreTarget,
	{running, below, quarantine, getRefusalCode}: IngressParts,
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
			getRefusalCode,
		}),
	};
}
