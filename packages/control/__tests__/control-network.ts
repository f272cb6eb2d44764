/** Simulated nodes with control only, on one virtual clock and a network with partitions. */
import type {Member, ProbeMessage} from '@egretspoke/protocol';
import {
	createRandom,
	createSupervisor,
	sleep,
	type ChildFailure,
	type Clock,
	type VirtualClock,
} from '@egretspoke/shared';
import type {MemoryPlatform} from '@egretspoke/stand-ins';
import {
	createControl,
	type Control,
	type ControlOptions,
} from '../src/index.js';

/** One node of the network. */
export type NetworkNode = {
	/** Configuration versions in the order in which they came into force. */
	versions: number[];
	name: string;
	control: Control;
	dataCentre: string;
	address: string;
	/** Ends the process without a withdrawal. */
	kill(): void;
	freeze(): void;
	/** Resumes the process and runs the timers that were due, as after SIGCONT. */
	thaw(): void;
};

/** The network, its nodes and its partitions. */
export type Network = {
	messages: number;
	nodes: NetworkNode[];
	add(name: string, options?: Partial<ControlOptions>): Promise<NetworkNode>;
	/** Cuts the links for which `isCut` holds; each end is a data centre's name or `platform`. */
	cut(isCut: (from: string, to: string) => boolean): void;
};

/** Latency of a message in one direction, in milliseconds. */
const oneWayDelay = 1;

/** Creates a network without nodes; the name of an added node starts with its data centre. */
export function createNetwork(options: {
	clock: VirtualClock;
	platform: MemoryPlatform;
	seed?: number;
	defaults?: Partial<ControlOptions>;
	/** Called when a loop of a node fails; by default the spec fails. */
	onChildFailure?: (failure: ChildFailure) => void;
}): Network {
	const {clock, platform, seed = 1, defaults = {}} = options;
	const {onChildFailure = failSpec} = options;
	const random = createRandom(seed);
	const nodesByAddress = new Map<string, NetworkNode & {isUp: () => boolean}>();
	let isCut: (from: string, to: string) => boolean = () => false;
	const network: Network = {
		nodes: [],
		messages: 0,
		cut(rule) {
			isCut = rule;
		},
		async add(name, overrides = {}) {
			const [dataCentre = ''] = name.split('-');
			const address = `${name}:${nodesByAddress.size}`;
			const gate = createGate(clock);
			const supervisor = createSupervisor(gate.clock, (failure) => {
				onChildFailure(failure);
			});
			let isAlive = true;
			const reach = async (to: string) => {
				network.messages++;
				await sleep(clock, oneWayDelay);
				const peer = nodesByAddress.get(to);
				const isReachable =
					peer?.isUp() === true &&
					isAlive &&
					!isCut(dataCentre, peer.dataCentre);
				return isReachable ? peer : undefined;
			};

			const control = createControl({
				self: createMember(name, {
					dataCentre,
					peerAddress: address,
					incarnation: clock.date().getTime(),
				}),
				platform: platform.connectFrom(() => isCut(dataCentre, 'platform')),
				clock: gate.clock,
				random: random.fork(),
				async send(to, probe: ProbeMessage) {
					const peer = await reach(to);
					const answer = peer?.control.receiveProbe(probe);
					await sleep(clock, oneWayDelay);
					await gate.pass();
					const isReturnLinkUp = peer && !isCut(peer.dataCentre, dataCentre);
					return isReturnLinkUp && answer ? answer : undefined;
				},
				async fetchConfiguration(to) {
					const peer = await reach(to);
					await sleep(clock, oneWayDelay);
					return peer?.control.configuration.body();
				},
				...defaults,
				...overrides,
			});
			const node = {
				name,
				control,
				dataCentre,
				address,
				versions: [] as number[],
				isUp: () => isAlive && !gate.isClosed(),
				kill() {
					isAlive = false;
					void supervisor.stop();
				},
				freeze: gate.close,
				thaw: gate.open,
			};
			nodesByAddress.set(address, node);
			network.nodes.push(node);
			void control.configuration.accepted.observe(({version}) => {
				node.versions.push(version);
			});
			const starting = control.start(supervisor);
			await Promise.race([starting, clock.runTo(clock.now() + 10)]);
			return node;
		},
	};
	return network;
}

/** Creates a member record for tests. */
export function createMember(
	node: string,
	fields: Partial<Member> = {},
): Member {
	return {
		node,
		incarnation: 1,
		heartbeat: 0,
		region: 'gh-coast',
		dataCentre: 'dc1',
		peerAddress: `${node}:1`,
		callerAddress: `${node}:2`,
		state: 'joining',
		configurationVersion: 0,
		...fields,
	};
}

function failSpec({error}: ChildFailure): never {
	throw error as Error;
}

/** Wraps a clock so that its timers are held back while the process is frozen. */
function createGate(clock: Clock) {
	let isClosed = false;
	let held: Array<() => void> = [];
	const gated: Clock = {
		...clock,
		setTimer(delay, callback) {
			let isCancelled = false;
			const run = () => {
				if (isClosed) {
					held.push(run);
				} else if (!isCancelled) {
					callback();
				}
			};

			const timer = clock.setTimer(delay, run);
			return {
				cancel() {
					isCancelled = true;
					timer.cancel();
				},
			};
		},
	};
	return {
		clock: gated,
		isClosed: () => isClosed,
		/** Waits until the process is resumed; messages received meanwhile are read then. */
		async pass() {
			if (isClosed) {
				await new Promise<void>((resolve) => {
					held.push(resolve);
				});
			}
		},
		close() {
			isClosed = true;
		},
		open() {
			isClosed = false;
			const due = held;
			held = [];
			for (const run of due) {
				run();
			}
		},
	};
}
