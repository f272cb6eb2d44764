import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createLocalSuspects, parseLocalSuspects} from '@egretspoke/quarantine';
import {createMeshMetrics} from '@egretspoke/observability';
import {
	createRandom,
	createSystemClock,
	createVirtualClock,
	parseAddress,
	sleep,
} from '@egretspoke/shared';
import {expect} from 'chai';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {err} from 'neverthrow';
import {WebSocket, WebSocketServer} from 'ws';
import {createMemoryBudget} from '../src/decisions/memory/memory-budget.js';
import {
	decodeFrame,
	encodeFrame,
	type Member,
} from '../src/links/peer-message.js';
import {createDirectory} from '../src/members/directory.js';
import {createMemberRegister} from '../src/members/member-register.js';
import {createMeshNode, type MeshNode} from '../src/mesh-node.js';
import {createTicker} from '../src/timing/ticker.js';
import {applyChanges, byteChanges, changes, fuzzOptions} from './odd-values.js';
import {createRowStoreStandIn} from './row-store-stand-in.js';
import {createMessages, request, self, state} from './sample-messages.js';

const packr = new Packr({useRecords: false});
const leaving = {
	targetId: 'target-1',
	startedAt: 50,
	sequence: 7,
	service: 'reads',
	address: '10.0.0.1:8080',
	slots: 10,
	isLeaving: true,
	warmUpLeft: 0,
	hasLeft: false,
};

function expectUsable(member: Member): void {
	expect(parseAddress(member.address)?.port).to.be.above(0);
	expect(Number.isSafeInteger(member.startedAt)).to.equal(true);
	expect(member.node.length).to.be.within(1, 200);
}

/** Every number in it is finite, but for a rate limit. */
function expectFinite(value: unknown, key = ''): void {
	if (typeof value === 'number' && key !== 'limit') {
		expect(Number.isFinite(value), `${key} ${value}`).to.equal(true);
	} else if (
		typeof value === 'object' &&
		value !== null &&
		!(value instanceof Uint8Array)
	) {
		for (const [name, item] of Object.entries(value)) {
			expectFinite(item, name);
		}
	}
}

/** JSON of changed data, at times cut, with one other byte, or nested deep. */
const jsonTexts = (data: unknown) =>
	fc.oneof(
		{
			weight: 20,
			arbitrary: fc
				.tuple(changes, byteChanges)
				.map(([list, change]) =>
					Buffer.from(
						change(Buffer.from(JSON.stringify(applyChanges(data, list)) ?? '')),
					).toString(),
				),
		},
		fc
			.nat(200_000)
			.map((depth) => `{"member":${'['.repeat(depth)}${']'.repeat(depth)}}`),
		fc.constantFrom(
			'{"__proto__":{"member":1}}',
			'{"member":{"__proto__":{"node":"odd"}}}',
			'{"member":{"startedAt":1e999}}',
			'',
		),
	);

describe('whatever others write', () => {
	it('a row of members harms no other row', async () => {
		const odd = {...self, node: 'odd', address: '10.0.0.9:7620'};
		const live = {...self, node: 'node-2', address: '10.0.0.2:7620'};
		await fc.assert(
			fc.asyncProperty(jsonTexts({member: odd, leaving}), async (text) => {
				const clock = createVirtualClock();
				const store = createRowStoreStandIn();
				await store.write({table: 'members', key: 'odd', value: text}, 0);
				// The row of this node's earlier start is odd too.
				await store.write({table: 'members', key: 'node-1', value: text}, 0);
				const value = JSON.stringify({member: live});
				await store.write({table: 'members', key: 'node-2', value}, 0);
				const read: Member[] = [];
				const lifetime = new AbortController();
				const register = createMemberRegister({
					store,
					self,
					clock,
					random: createRandom(1),
					reporter: {notice: () => undefined, decision: () => undefined},
					onMembers(members) {
						read.push(...members);
					},
					onEarlierLeaving: () => undefined,
				});
				const running = register.run(lifetime.signal);
				await clock.runTo(1000);
				lifetime.abort();
				await clock.runTo(200_000);
				await running;
				expect(read).to.deep.include(live);
				expect(read).to.deep.include(self);
				for (const member of read) {
					expectUsable(member);
				}
			}),
			fuzzOptions(800),
		);
	});

	it('a row of suspects holds the readable ones', () => {
		const clock = createVirtualClock();
		const suspects = createLocalSuspects(clock);
		suspects.record([
			{identity: 'a', round: 1, crashes: 2},
			{identity: 'b', round: 1, crashes: 2},
		]);
		const data: unknown = JSON.parse(suspects.serialize());
		fc.assert(
			fc.property(jsonTexts(data), (text) => {
				const read = parseLocalSuspects(text, clock) ?? [];
				expectFinite(read);
				suspects.restore(read);
				expect(suspects.serialize()).to.be.a('string');
			}),
			fuzzOptions(800),
		);
	});

	/** Bytes of a frame with changed messages. */
	const frames = (member: Member) => {
		const messages = createMessages(member);
		return fc
			.tuple(
				fc.array(fc.nat(messages.length - 1), {minLength: 1, maxLength: 3}),
				changes,
				byteChanges,
			)
			.map(([chosen, list, change]) => {
				const data = [1, chosen.map((index) => messages[index])];
				return change(packr.pack(applyChanges(data, list)));
			});
	};

	it('a frame is decoded to what can be used and encoded again', () => {
		fc.assert(
			fc.property(frames(self), (bytes) => {
				const frame = decodeFrame(bytes);
				if (frame.isErr()) {
					return;
				}

				expectFinite(frame.value);
				for (const message of frame.value.messages) {
					if (message.kind === 'members') {
						for (const member of message.members) {
							expectUsable(member);
						}
					}
				}

				// Members, suspects and configurations are passed on.
				expect(decodeFrame(encodeFrame(frame.value)).isOk()).to.equal(true);
			}),
			fuzzOptions(4000),
		);
	});

	describe('to a node', () => {
		const clock = createSystemClock();
		let node: MeshNode;
		let address: string;

		beforeEach(async () => {
			node = createMeshNode({
				settings: {
					node: 'node-1',
					dataCentre: 'east',
					service: 'reads',
					targetAddress: '127.0.0.1:1',
					callerAddress: '127.0.0.1:0',
					peerAddress: '127.0.0.1:0',
					retryBudget: {ratio: 0.2, allowance: 48, window: 10_000},
					quotaTolerance: {window: 5000, overage: 0.1, slack: 20},
					grace: 6000,
					memory: 350_000_000,
					descriptors: 4100,
				},
				clock,
				random: createRandom(1),
				store: createRowStoreStandIn(async (wait) => sleep(clock, wait)),
				configurationRow: {table: 'any', key: 'any'},
				decodeConfiguration: () => err({version: undefined, detail: 'none'}),
				headerNames: {
					requestId: 'request-id',
					timeLeft: 'time-left',
					expectedTarget: 'expected-target',
					callerService: 'from-service',
					workspaceKey: 'workspace-key',
					workspace: 'workspace',
					signature: 'signed',
					notExecuted: 'not-run',
					rateLimit: 'rate',
					leaving: 'is-leaving',
				},
				reporter: {notice: () => undefined, decision: () => undefined},
				metrics: createMeshMetrics(),
			});
			const started = await node.start();
			address = started.peers;
		});

		afterEach(() => {
			node.abort();
		});

		/** Resolves with whether the node answered a ping that followed the bytes. */
		const send = async (bytes: Uint8Array): Promise<boolean> => {
			const socket = new WebSocket(`ws://${address}`);
			await once(socket, 'open');
			const answered = new Promise<boolean>((resolve) => {
				socket.on('close', () => {
					resolve(false);
				});
				socket.on('message', (data: Uint8Array) => {
					const {messages} = decodeFrame(data)._unsafeUnwrap();
					if (messages.some(({kind}) => kind === 'pong')) {
						resolve(true);
					}
				});
			});
			socket.send(bytes);
			socket.send(encodeFrame({sentAt: 2, messages: [{kind: 'ping'}]}));
			const isAnswered = await answered;
			socket.terminate();
			return isAnswered;
		};

		// What throws in the handler of a message is an uncaught exception, by which mocha fails the spec.
		it('a frame throws nowhere, and the node answers the next one', async () => {
			await node.announce({
				...leaving,
				isLeaving: false,
				address: '127.0.0.1:1',
			});
			await fc.assert(
				fc.asyncProperty(
					frames({...self, node: 'node-7', address: '127.0.0.1:1'}),
					async (bytes) => {
						const isDecoded = decodeFrame(bytes).isOk();
						expect(await send(bytes)).to.equal(isDecoded);
						expectFinite(node.readings());
					},
				),
				fuzzOptions(1500),
			);
			expect(
				await send(encodeFrame({sentAt: 1, messages: [{kind: 'ping'}]})),
			).to.equal(true);
		});
	});

	it('an answer on a link throws nowhere', async () => {
		await fc.assert(
			fc.asyncProperty(
				frames({...self, node: 'node-7', address: '127.0.0.1:1'}),
				async (bytes) => {
					const server = new WebSocketServer({port: 0, host: '127.0.0.1'});
					await once(server, 'listening');
					const {port} = server.address() as AddressInfo;
					const peer = {...self, node: 'peer', address: `127.0.0.1:${port}`};
					const greeting = encodeFrame({
						sentAt: 0,
						messages: [
							{kind: 'hello', member: peer, configurationVersion: 0},
							{...state, service: 'greeting'},
						],
					});
					const farewell = encodeFrame({
						sentAt: 2,
						messages: [{...state, service: 'farewell'}],
					});
					const life = new AbortController();
					const clock = createVirtualClock();
					const connected = once(server, 'connection') as Promise<[WebSocket]>;
					let onState: (service: string) => void = () => undefined;
					const directory = createDirectory({
						clock,
						budget: createMemoryBudget(350_000_000),
						random: createRandom(1),
						ticker: createTicker(clock, life.signal),
						self: {...self},
						hello: () => [],
						onMessage: () => undefined,
						onMalformed: () => undefined,
						onUnread: () => undefined,
						onLost: () => undefined,
						onState({service}) {
							onState(service);
						},
						onProfiles: () => undefined,
						onPeer: () => undefined,
						pinned: () => [],
					});
					const waitForState = async (wanted: string) =>
						new Promise<void>((resolve) => {
							onState = (service) => {
								if (service === wanted) {
									resolve();
								}
							};
						});
					const greeted = waitForState('greeting');
					directory.addMembers([peer], 'store');
					const [socket] = await connected;
					socket.send(greeting);
					await greeted;
					const outcomes: string[] = [];
					const [candidate] = directory.candidates('reads', []);
					candidate!.channel.send(request, (outcome) => {
						outcomes.push(outcome.kind);
						expectFinite(outcome);
						if (outcome.kind === 'answered') {
							outcome.stream?.cancel();
						}
					});

					const over = new AbortController();
					socket.on('close', () => {
						over.abort();
					});
					void (async () => {
						await waitForState('farewell');
						over.abort();
					})();

					socket.send(bytes);
					socket.send(farewell);
					// A link that was left, or replaced by one to another node, receives nothing more.
					while (!over.signal.aborted && directory.isLinked('peer')) {
						// eslint-disable-next-line no-await-in-loop -- polling.
						await nextTurn();
					}

					for (const {occupancy} of directory.candidates('reads', [])) {
						expect(Number.isNaN(occupancy)).to.equal(false);
					}

					for (const member of directory.members()) {
						expectUsable(member);
					}

					expect(outcomes.length).to.be.at.most(1);
					directory.close();
					life.abort();
					socket.terminate();
					server.close();
				},
			),
			fuzzOptions(1500),
		);
	});
});
