/**
 * Many nodes in one process with control only: membership and the configuration
 * watch. Messages are encoded and decoded by the real codec, as over a channel,
 * and counted at their sender.
 */
import {setImmediate} from 'node:timers/promises';
import {createControl, type Control, type SendProbe} from '@egretspoke/control';
import {
	decodeMessage,
	encodeMessage,
	type Member,
	type Message,
} from '@egretspoke/protocol';
import {
	createSupervisor,
	createSystemClock,
	type Random,
} from '@egretspoke/shared';
import {createMemoryPlatform, type MemoryPlatform} from '@egretspoke/stand-ins';
import type {NodeTally} from './control-tally.js';

/** One node of the fleet. */
export type FleetNode = {
	name: string;
	dataCentre: string;
	control: Control;
	tally: NodeTally;
	/** Stops the node without a withdrawal. */
	stop(): void;
};

/** All nodes and the network between them. */
export type Fleet = {
	nodes: FleetNode[];
	platform: MemoryPlatform;
	/** Tallies of all nodes, including stopped ones, in the order of their starts. */
	tallies: NodeTally[];
	/** Starts a node; a restarted node reuses its address. */
	start(index: number): Promise<FleetNode>;
	/** Isolates a data centre from the others; undefined ends the isolation. */
	isolate(dataCentre: string | undefined): void;
};

/** Number of data centres expected in two years. */
const dataCentres = 6;

const services = 26;

/** Creates a fleet without nodes. */
export function createFleet(random: Random): Fleet {
	const clock = createSystemClock({keepAlive: true});
	const platform = createMemoryPlatform({clock});
	const byAddress = new Map<string, FleetNode>();
	let cut: string | undefined;

	const transmit = (
		tally: NodeTally,
		message: Message,
	): Message | undefined => {
		const bytes = encodeMessage(message);
		tally.bytes += bytes.byteLength;
		tally.messages++;
		return decodeMessage(bytes).unwrapOr(undefined);
	};

	const findPeer = (address: string, from: string) => {
		const peer = byAddress.get(address);
		const isIsolated =
			peer !== undefined &&
			peer.dataCentre !== from &&
			[peer.dataCentre, from].includes(cut ?? '');
		return isIsolated ? undefined : peer;
	};

	const createSend =
		(tally: NodeTally, from: string): SendProbe =>
		async (address, probe) => {
			const message = transmit(tally, probe);
			await setImmediate();
			const peer = findPeer(address, from);
			if (!peer || message?.type !== 'probe') {
				return undefined;
			}

			const answer = transmit(peer.tally, peer.control.receiveProbe(message));
			await setImmediate();
			return answer?.type === 'acknowledgement' ? answer : undefined;
		};

	const fleet: Fleet = {
		nodes: [],
		platform,
		tallies: [],
		isolate(dataCentre) {
			cut = dataCentre;
		},
		async start(index) {
			const self = describeNode(index, clock.date());
			const {node: name, dataCentre, peerAddress, target} = self;
			const tally = {bytes: 0, messages: 0};
			const supervisor = createSupervisor(clock, ({error}) => {
				throw error as Error;
			});
			const control = createControl({
				self,
				platform,
				clock,
				random: random.fork(),
				send: createSend(tally, dataCentre),
				async fetchConfiguration(address) {
					transmit(tally, {type: 'configurationRequest'});
					const peer = findPeer(address, dataCentre);
					const body = peer?.control.configuration.body();
					await setImmediate();
					const answer =
						peer && body
							? transmit(peer.tally, {type: 'configurationBody', ...body})
							: undefined;
					return answer?.type === 'configurationBody' ? answer : undefined;
				},
			});
			const node: FleetNode = {
				name,
				dataCentre,
				control,
				tally,
				stop() {
					void supervisor.stop();
					byAddress.delete(peerAddress);
					fleet.nodes = fleet.nodes.filter((each) => each !== node);
				},
			};
			byAddress.set(peerAddress, node);
			fleet.nodes.push(node);
			fleet.tallies.push(tally);
			await control.start(supervisor);
			control.announceTarget(target);
			return node;
		},
	};
	return fleet;
}

function describeNode(index: number, startedAt: Date): Member {
	const dataCentre = `gh-coast-${index % dataCentres}`;
	const host = `10.${index % dataCentres}.${Math.floor(index / 250)}.${index % 250}`;
	return {
		node: `vm-${index}`,
		incarnation: startedAt.getTime(),
		heartbeat: 0,
		region: 'gh-coast',
		dataCentre,
		peerAddress: `${host}:7401`,
		callerAddress: `${host}:7400`,
		state: 'joining',
		configurationVersion: 0,
		target: {
			service: `service-number-${index % services}`,
			slots: 100,
			connections: 680,
		},
	};
}
