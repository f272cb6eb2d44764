/** Runs a node's core and control on the fakes, as a process that can be killed and restarted. */
import {
	createControl,
	createSuspectRows,
	classify,
	type Control,
} from '@egretspoke/control';
import {egretspokePolicy} from '@egretspoke/decisions';
import type {Recorder} from '@egretspoke/history';
import {createNodeCore, silentReporter, type NodeCore} from '@egretspoke/node';
import type {Platform} from '@egretspoke/storage';
import {createSupervisor, type Clock, type Random} from '@egretspoke/shared';
import {ResultAsync} from 'neverthrow';
import type {FakeNetwork} from './fake-network.js';
import type {FakeTarget} from './fake-target.js';
import type {Handlers} from './handlers.js';
import {
	createProcessExecution,
	type ProcessExecution,
} from './process-execution.js';

/** Dependencies and settings of a node. */
export type FakeNodeOptions = {
	name: string;
	dataCentre: string;
	clock: Clock;
	random: Random;
	network: FakeNetwork;
	platform: Platform;
	target: FakeTarget;
	slots: number;
	ledgerKeys: number;
	recorder: Recorder;
	handlers: Handlers;
	/** Addresses of all nodes. */
	peers: string[];
};

/** A running instance of the node's process. */
export type FakeProcess = {
	execution: ProcessExecution;
	core: NodeCore;
	control: Control;
	/** Kills the process without a withdrawal. */
	kill(): void;
};

/** The service that every fake target offers. */
export const fakeService = 'bookings';

/** Maximum lifetime of a key in the schedules. */
export const maxKeyLifetimeMs = 60_000;

/** Starts the process; its incarnation is the wall-clock time. */
export function startFakeNode(options: FakeNodeOptions): FakeProcess {
	const {name, dataCentre, network, random, recorder, target} = options;
	const execution = createProcessExecution(options.clock, random.fork());
	const {clock} = execution;
	const incarnation = clock.date().getTime();
	const endpoint = {
		address: name,
		identity: {node: name, incarnation, dataCentre},
		execution,
	};
	const supervisor = createSupervisor(clock, ({error}) => {
		throw error;
	});
	const platform = wrapPlatform(options.platform, execution);
	const core: NodeCore = createNodeCore({
		clock,
		random: random.fork(),
		self: {node: name, incarnation},
		dataCentre,
		policy: egretspokePolicy,
		transport: network.attach(endpoint),
		supervisor,
		reporter: silentReporter,
		persistSuspects(suspects) {
			suspectRows.persist(suspects);
		},
		attemptHandler: options.handlers.attempt,
		ledger: {
			capacity: options.ledgerKeys,
			bytesCapacity: 20_000,
			maximumLifetime: maxKeyLifetimeMs,
		},
		control: {
			classify: (service, method, path) =>
				classify(control.configuration.current(), service, method, path),
			members: () => control.membership.members(),
			isSuspended: () => control.membership.isSuspended(),
			receiveProbe: (probe) => control.receiveProbe(probe),
			configurationBody() {
				const body = control.configuration.body();
				return body && {type: 'configurationBody', ...body};
			},
		},
	});
	const control = createControl({
		self: {
			node: name,
			incarnation,
			heartbeat: 0,
			region: 'gulf-south',
			dataCentre,
			peerAddress: name,
			callerAddress: name,
			state: 'joining',
			configurationVersion: 0,
		},
		clock,
		random: random.fork(),
		acceptance: options.handlers.acceptance,
		platform,
		peers: options.peers.filter((address) => address !== name),
		send: async (address, probe, signal) =>
			core.peers.probe(address, probe, signal),
		fetchConfiguration: async (address) =>
			core.peers.requestConfiguration(address, supervisor.signal),
	});
	const suspectRows = createSuspectRows({
		platform,
		clock,
		random: random.fork(),
		node: name,
		onSuspects(suspects) {
			core.quarantine.applyStoredSuspects(suspects);
		},
	});
	void control.configuration.accepted.observe(({version}) => {
		recorder.record({kind: 'versionTaken', node: name, incarnation, version});
	});
	void control.membership.changes.observe(({member, before}) => {
		core.membersChanged();
		const isOwn = member.node === name && member.state !== before?.state;
		if (isOwn && member.state === 'leaving') {
			core.leave();
		}
	});
	const announcement = {
		service: fakeService,
		slots: options.slots,
		connections: 50,
	};
	core.announce({announcement, client: wrapTarget(target, execution)});
	control.announceTarget(announcement);
	void control.start(supervisor);
	supervisor.startLoop('suspectRows', suspectRows.run);
	return {
		execution,
		core,
		control,
		kill() {
			execution.kill();
			network.detach(endpoint);
			void supervisor.stop();
		},
	};
}

function wrapTarget(
	{client}: FakeTarget,
	execution: ProcessExecution,
): FakeTarget['client'] {
	return {
		send: async (request, timeLeft, signal) =>
			execution.hold(client.send(request, timeLeft, signal)),
		isListening: async () => execution.hold(client.isListening()),
	};
}

function wrapPlatform(
	platform: Platform,
	execution: ProcessExecution,
): Platform {
	const hold = <T, E>(result: ResultAsync<T, E>) =>
		new ResultAsync(execution.hold(Promise.resolve(result)));
	return {
		table: {
			read: (key) => hold(platform.table.read(key)),
			list: (prefix) => hold(platform.table.list(prefix)),
			transact: (writes) => hold(platform.table.transact(writes)),
		},
		objects: {
			get: (name) => hold(platform.objects.get(name)),
			put: (name, body) => hold(platform.objects.put(name, body)),
		},
	};
}
