/**
 * Starts one node from its settings: the core, control and the three listeners.
 * Stops them in an order that cuts no requests.
 */
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {
	classify,
	createControl,
	createSuspectRows,
	type Control,
	type ControlOptions,
} from '@egretspoke/control';
import {egretspokePolicy, type Policy} from '@egretspoke/decisions';
import {createHttpPlatform, type Platform} from '@egretspoke/storage';
import type {Home, Member} from '@egretspoke/protocol';
import {
	createRandom,
	createSupervisor,
	createConnectionBudget,
	createSystemClock,
	formatAddress,
	parseAddress,
	sleep,
	type Clock,
	type ConnectionBudget,
} from '@egretspoke/shared';
import {createAdminListener} from './admin-listener.js';
import {createAdminServices} from './admin-services.js';
import {createCallerListener, type GiveUpCause} from './caller-listener.js';
import {subscribeToControl} from './control-subscription.js';
import {createNodeCore, type CoreControl, type NodeCore} from './node-core.js';
import {createNodeInstruments} from './node-instruments.js';
import {readGauges, type GaugeSources} from './node-readings.js';
import {describeError, type NodeReporter} from './node-reporter.js';
import {waitForPorts} from './listener-ports.js';
import {stopMargin} from './node-process.js';
import type {NodeSettings} from './settings.js';
import {createAnnouncementHandler} from './announcement-handler.js';
import {
	createWebSocketTransport,
	type OnListenerError,
	type WebSocketTransport,
} from './web-socket-transport.js';

/** A running node. */
export type RunningNode = {
	/** The addresses that its listeners are bound to, `ip:port`. */
	addresses: {caller: string; peer: string; admin: string};
	/** A planned stop: resolves with the number of requests that were cut. */
	drain(): Promise<number>;
	/** Stops immediately; resolves with the number of requests that were cut. */
	stop(): Promise<number>;
};

/** What a test or a benchmark may replace. */
export type StartOptions = {
	clock?: Clock;
	policy?: Policy;
	platform?: Platform;
	/** Abandons a start that still waits for its ports; it then rejects with `StartAbandonedError`. */
	abandoned?: AbortSignal;
};

/** Maximum bytes of a message besides its body, for headers and envelope. */
const envelopeLimit = 256 * 1024;
/** Maximum concurrent handshakes: all peers of a data centre after a restart. */
const handshakeLimit = 128;
const anyFreePort = 0;
/** Maximum time in milliseconds of a stop to tell the platform and the members. */
const endTimeout = 3000;

/**
 * Starts a node. Rejects with Node's error when a listener can't bind its port,
 * after a wait in which a former process may release it.
 * An unreachable platform is no error, because a data centre that is cut off has
 * to serve what it can.
 */
export async function startNode(
	settings: NodeSettings,
	options: StartOptions = {},
): Promise<RunningNode> {
	const clock = options.clock ?? createSystemClock({keepAlive: true});
	const {node, dataCentre, limits, secrets} = settings;
	const startedAt = clock.date().getTime();
	const random = createRandom(createSeed(node, startedAt));
	const self: Home = {node, incarnation: startedAt};
	const gaugeSources: GaugeSources = {};
	const instruments = createNodeInstruments(settings, clock, () =>
		readGauges(gaugeSources, instruments.log.dropped()),
	);
	const {reporter} = instruments;
	const supervisor = createSupervisor(clock, ({path, error, restartIn}) => {
		const detail = describeError(error);
		reporter.recordEvent({name: 'childFailed', path, detail, restartIn});
	});
	await waitForPorts({
		listeners: settings.listeners,
		clock,
		signal: options.abandoned ?? supervisor.signal,
		timeout: settings.timings.drain + stopMargin,
		onTaken(taken) {
			reporter.recordEvent({name: 'listenerTaken', ...taken});
			instruments.log.flush();
		},
	});
	const onFailure = (task: string, error: unknown) => {
		const detail = describeError(error);
		reporter.recordEvent({name: 'taskFailed', task, detail});
	};

	const reportListener = (listener: string) => (error: Error) => {
		const {message} = error;
		reporter.recordEvent({name: 'listenerFailed', listener, detail: message});
	};

	const connectionBudget = createConnectionBudget({
		clock,
		limits: {
			bytes: limits.connectionMemory,
			connections: limits.connections,
		},
		onCheck() {
			caller.refuseStalled();
		},
	});
	const transport = createTransport(settings, clock, self, {
		connectionBudget,
		reporter,
		onListenerError: reportListener('peer'),
	});
	const peer = await listenOn(transport, settings.listeners.peer);
	const policy = options.policy ?? egretspokePolicy;

	const platform = options.platform ?? createPlatform(settings, clock);
	const suspectRows = createSuspectRows({
		platform,
		clock,
		random: random.fork(),
		node,
		onFailure,
		onSuspects(suspects) {
			core.quarantine.applyStoredSuspects(suspects);
		},
	});
	const core: NodeCore = createNodeCore({
		clock,
		random,
		self,
		dataCentre,
		policy,
		transport,
		supervisor,
		reporter,
		ledger: {
			capacity: limits.ledgerKeys,
			bytesCapacity: limits.ledgerBytes,
			maximumLifetime: limits.keyLifetime,
		},
		persistSuspects: suspectRows.persist,
		control: createCoreControl(
			() => control,
			(service) => core.isServed(service),
		),
	});

	const caller = createCallerListener({
		clock,
		entry: core.entry,
		reporter,
		bodyLimit: limits.body,
		bufferLimit: limits.bufferedBodies,
		headerLimit: limits.headers,
		connectionBudget,
		requestTimeout: limits.slowSender,
		onListenerError: reportListener('caller'),
		announce(announcement) {
			handleAnnouncement(announcement);
		},
	});
	const callerAddress = await listenOn(caller, settings.listeners.caller);
	const member = createMember(settings, self, {peer, caller: callerAddress});
	const control = createControl(
		readControlOptions(settings, {
			clock,
			random,
			core,
			member,
			platform,
			onFailure,
		}),
	);
	gaugeSources.control = control;
	gaugeSources.core = core;

	const handleAnnouncement = createAnnouncementHandler(
		settings,
		core,
		control,
		(error) => {
			onFailure('close of a client', error);
		},
	);
	const admin = createAdminListener({
		services: createAdminServices({
			node,
			control,
			core,
			instruments,
			supervisor,
		}),
		bodyLimit: limits.body,
		connectionBudget,
		...(secrets.operator !== undefined && {secret: secrets.operator}),
		onMalformed(detail) {
			reporter.recordEvent({name: 'operatorRefused', detail});
		},
		onListenerError: reportListener('admin'),
		onFailure(error) {
			onFailure('operator call', error);
		},
	});
	const adminAddress = await listenOn(admin, settings.listeners.admin);
	subscribeToControl(control, core, instruments.reporter);
	supervisor.startLoop('suspectRows', suspectRows.run);
	await control.start(supervisor);
	if (control.configuration.source() === 'defaults') {
		reporter.recordEvent({name: 'runningOnDefaults'});
	}

	if (settings.target?.announcement) {
		handleAnnouncement(settings.target.announcement);
	}

	let stopping: Promise<number> | undefined;
	const stop = async (cause: GiveUpCause) => {
		const open = core.openRequests();
		const unsent = await caller.close(cause);
		core.peers.close();
		await Promise.all([admin.close(), transport.close()]);
		await supervisor.stop();
		instruments.log.flush();
		return open + unsent;
	};

	/** A second signal can stop a node that is about to stop itself; both report the same. */
	const stopOnce = async (cause: GiveUpCause) => {
		stopping ??= stop(cause);
		return stopping;
	};

	const addresses = {caller: callerAddress, peer, admin: adminAddress};
	instruments.log.record('started', {details: {...addresses, dataCentre}});
	return {
		addresses,
		stop: async () => stopOnce('stop'),
		async drain() {
			const timeout = new AbortController();
			const timer = clock.setTimer(settings.timings.drain, () => {
				timeout.abort();
			});
			control.leave();
			await Promise.race([core.drain(), aborted(timeout.signal)]);
			// Nothing is accepted from here on; what was accepted is answered.
			const [ended] = await Promise.allSettled([
				Promise.race([control.end(), sleep(clock, endTimeout)]),
				Promise.race([caller.drain(), aborted(timeout.signal)]),
			]);
			timer.cancel();
			const cut = await stopOnce(timeout.signal.aborted ? 'drainTime' : 'stop');
			if (ended.status === 'rejected') {
				throw ended.reason as Error;
			}

			reporter.recordEvent({name: 'drained', cut});
			instruments.log.flush();
			return cut;
		},
	};
}

async function aborted(signal: AbortSignal): Promise<void> {
	if (!signal.aborted) {
		await once(signal, 'abort');
	}
}

/**
 * The seed depends on the name, because nodes that start in the same
 * millisecond, as after a power cut, would otherwise read the platform and probe
 * their peers in step.
 */
function createSeed(node: string, startedAt: number): number {
	return createHash('sha256')
		.update(`${node} ${startedAt}`)
		.digest()
		.readInt32BE();
}

function createTransport(
	{dataCentre, limits, secrets}: NodeSettings,
	clock: Clock,
	self: Home,
	{
		connectionBudget,
		reporter,
		onListenerError,
	}: {
		connectionBudget: ConnectionBudget;
		reporter: NodeReporter;
		onListenerError: OnListenerError;
	},
): WebSocketTransport {
	return createWebSocketTransport({
		clock,
		connectionBudget,
		self: () => ({...self, dataCentre}),
		secret: secrets.peer ?? '',
		messageLimit: limits.body + envelopeLimit,
		handshakeLimit,
		onListenerError,
		onMalformed(detail) {
			reporter.recordEvent({name: 'malformedMessage', detail});
		},
		onRefused(detail) {
			reporter.recordEvent({name: 'peerRefused', detail});
		},
	});
}

/**
 * The interface of the core to control. It takes a function because core and
 * control depend on each other.
 */
function createCoreControl(
	control: () => Control,
	isServed: (service: string) => boolean,
): CoreControl {
	return {
		classify(service, method, path) {
			const configuration = control().configuration.current();
			return configuration.classifiers.has(service) || isServed(service)
				? classify(configuration, service, method, path)
				: undefined;
		},
		members: () => control().membership.members(),
		isSuspended: () => control().membership.isSuspended(),
		receiveProbe: (message) => control().receiveProbe(message),
		configurationBody() {
			const body = control().configuration.body();
			return body && {type: 'configurationBody', ...body};
		},
	};
}

function createMember(
	{advertise, dataCentre, region}: NodeSettings,
	{node, incarnation}: Home,
	{peer, caller}: {peer: string; caller: string},
): Member {
	return {
		node,
		incarnation,
		heartbeat: 0,
		region,
		dataCentre,
		peerAddress: advertise.peer ?? peer,
		callerAddress: advertise.caller ?? caller,
		state: 'joining',
		configurationVersion: 0,
	};
}

type ControlParts = Pick<
	ControlOptions,
	'clock' | 'random' | 'platform' | 'onFailure'
> & {
	core: NodeCore;
	member: Member;
};

function readControlOptions(
	settings: NodeSettings,
	{core, member, random, ...parts}: ControlParts,
): ControlOptions {
	const {peers, timings} = settings;
	return {
		...parts,
		self: member,
		random: random.fork(),
		peers,
		timing: {lease: timings.lease, probeInterval: timings.probe},
		readInterval: timings.configurationRead,
		send: async (address, probe, signal) =>
			core.peers.probe(address, probe, signal),
		fetchConfiguration: async (address) =>
			core.peers.requestConfiguration(
				address,
				AbortSignal.timeout(settings.platform.timeout),
			),
	};
}

function createPlatform({platform}: NodeSettings, clock: Clock): Platform {
	return createHttpPlatform({
		address: platform.address,
		timeout: platform.timeout,
		clock,
		...(platform.credential !== undefined && {
			credential: platform.credential,
		}),
	});
}

type Listening = {listen(host: string, port: number): Promise<number>};

async function listenOn(listener: Listening, address: string): Promise<string> {
	const {host, port} = parseAddress(address) ?? {
		host: address,
		port: anyFreePort,
	};
	const boundPort = await listener.listen(host, port);
	return formatAddress({host, port: boundPort});
}
