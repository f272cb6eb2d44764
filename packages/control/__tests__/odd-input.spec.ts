import {
	decodeMessage,
	encodeMessage,
	type Member,
	type ProbeMessage,
} from '@egretspoke/protocol';
import {createVirtualClock} from '@egretspoke/shared';
import {createMemoryPlatform} from '@egretspoke/stand-ins';
import {expect} from 'chai';
import fc from 'fast-check';
import {readIntents} from '../src/intent.js';
import {createMember, createNetwork} from './control-network.js';

const maxInteger = Number.MAX_SAFE_INTEGER;

const oddNumber = fc.constantFrom(
	0,
	1,
	2,
	1e13,
	4e15,
	maxInteger - 1,
	maxInteger,
);
const oddText = fc.oneof(
	fc.constantFrom(
		'',
		'__proto__',
		'constructor',
		'127.0.0.1:99999',
		'127.0.0.1:0',
		'[::1]:1',
		'\u0000',
		'\uD800',
		'x'.repeat(10_000),
	),
	fc.string(),
);

const oddMember: fc.Arbitrary<Member> = fc.record(
	{
		node: fc.oneof(
			fc.constantFrom('dc1-a', 'dc1-b', '__proto__', 'constructor'),
			fc.string({minLength: 1}),
		),
		incarnation: oddNumber,
		heartbeat: oddNumber,
		region: oddText,
		dataCentre: oddText,
		peerAddress: oddText,
		callerAddress: oddText,
		state: fc.constantFrom('joining', 'active', 'suspect', 'leaving', 'gone'),
		target: fc.record({
			service: fc.oneof(
				fc.constantFrom('__proto__', 'constructor'),
				fc.string({minLength: 1}),
			),
			slots: fc.constantFrom(1, 1e6, maxInteger),
			connections: fc.constantFrom(1, 1e6, maxInteger),
		}),
		configurationVersion: oddNumber,
	},
	{
		requiredKeys: [
			'node',
			'incarnation',
			'heartbeat',
			'region',
			'dataCentre',
			'peerAddress',
			'callerAddress',
			'state',
			'configurationVersion',
		],
	},
);

const start = async (...names: string[]) => {
	const clock = createVirtualClock();
	const platform = createMemoryPlatform({clock});
	const network = createNetwork({clock, platform});
	for (const name of names) {
		// eslint-disable-next-line no-await-in-loop -- the nodes start one after another.
		await network.add(name);
	}

	await clock.runTo(clock.now() + 5000);
	return {clock, platform, nodes: network.nodes};
};

describe('odd input of control', () => {
	describe('records of members', () => {
		it('leave the messages of a node readable', async () => {
			// A record with the largest incarnation names this node. Its refutation
			// was a number that no other node accepts, so they refused all its messages.
			const {clock, nodes} = await start('dc1-a');
			const {control} = nodes[0]!;
			await fc.assert(
				fc.asyncProperty(
					fc.array(oddMember, {minLength: 1, maxLength: 5}),
					oddNumber,
					async (members, configurationVersion) => {
						const probe: ProbeMessage = {
							type: 'probe',
							sequence: 1,
							members,
							configurationVersion,
							whole: true,
						};
						const answer = control.receiveProbe(probe);
						const decoded = decodeMessage(encodeMessage(answer));
						expect(decoded.isOk()).to.equal(true);
						await clock.runTo(clock.now() + 100);
					},
				),
				{seed: 1, numRuns: 300},
			);
			expect(control.membership.self().node).to.equal('dc1-a');
			nodes[0]!.kill();
		});

		it('do not displace a live node for good', async () => {
			// A row or a message names a live node with a start far in the future. No
			// later start of the node would ever be newer, and nobody would call it.
			const {clock, nodes} = await start('dc1-a', 'dc1-b', 'dc1-c');
			const [first, second, third] = nodes;
			for (const incarnation of [1e14, maxInteger - 1, maxInteger]) {
				first!.control.receiveProbe({
					type: 'probe',
					sequence: 1,
					members: [
						createMember('dc1-z', {state: 'active'}),
						createMember('dc1-b', {
							incarnation,
							state: 'gone',
							peerAddress: '10.9.9.9:1',
						}),
					],
					configurationVersion: 0,
				});
			}

			await clock.runTo(clock.now() + 10_000);
			for (const node of [first!, third!]) {
				const seen = node.control.membership
					.members()
					.find((member) => member.node === 'dc1-b');
				expect(seen?.state).to.equal('active');
				expect(seen?.incarnation).to.be.lessThan(1e13);
				expect(seen?.peerAddress).to.equal(second!.address);
			}

			for (const node of nodes) {
				node.kill();
			}
		});
	});

	describe('rows of the table', () => {
		it('are skipped, and the loops go on', async () => {
			await fc.assert(
				fc.asyncProperty(
					fc.array(
						fc.tuple(
							fc.constantFrom(
								'member/dc1/dc1-b',
								'member/__proto__',
								'suspects/dc1-b',
								'configuration/head',
								'configuration/version/000000000001',
							),
							fc.oneof(
								oddText,
								fc.json(),
								fc.constantFrom(
									'['.repeat(100_000),
									`${'['.repeat(20_000)}${']'.repeat(20_000)}`,
									'{"version":1e300,"checksum":"x","plan":"p","author":"a"}',
									'{"version":1,"checksum":"x","plan":"p","author":"a"}',
									'{"version":1,"checksum":"x","text":"x"}',
									'{"node":"dc1-b","peerAddress":"1.2.3.4:99999","dataCentre":"dc1","refreshedAt":1e300}',
									'{"node":"dc1-b","peerAddress":"1.2.3.4:99999","dataCentre":"dc1","refreshedAt":-1e300}',
									'{"at":1e300,"suspects":[["__proto__",9007199254740991,1]]}',
								),
							),
						),
						{maxLength: 5},
					),
					async (rows) => {
						const {clock, platform, nodes} = await start('dc1-a');
						for (const [key, value] of rows) {
							// eslint-disable-next-line no-await-in-loop -- one row after another.
							await platform.table.transact([{kind: 'put', key, value}]);
						}

						await clock.runTo(clock.now() + 10_000);
						expect(nodes[0]!.control.status().state).to.equal('active');
						nodes[0]!.kill();
					},
				),
				{seed: 1, numRuns: 60},
			);
		});
	});

	describe('documents of operators', () => {
		const scalar = fc.constantFrom(
			'1e300',
			'-1',
			'.nan',
			'.inf',
			'99999999999999999999',
			'4s',
			'-4s',
			'1e300s',
			'null',
			'""',
			'__proto__',
			'{__proto__: 1}',
			'{constructor: 1}',
			'[[[[]]]]',
			'&a [*a]',
			'!!binary x',
			'{method: POST, path: "%E0%A4%A"}',
			'{method: __proto__, path: "("}',
		);
		const key = fc.constantFrom(
			'service',
			'deadline',
			'attempts',
			'requests',
			'calls',
			'targets',
			'limits',
			'__proto__',
			'constructor',
		);

		const entry = fc
			.tuple(key, scalar)
			.map(([name, value]) => `${name}: ${value}`);
		const document = fc
			.array(entry, {maxLength: 6})
			.map((entries) => entries.join('\n'));

		it('end in findings and never in an error', () => {
			fc.assert(
				fc.property(fc.oneof(fc.string(), document), (text) => {
					readIntents({text, file: 'odd.yaml'});
				}),
				{seed: 1, numRuns: 1000},
			);
		});

		it('may be nested as deep as their limit of bytes allows', () => {
			for (const text of [
				'['.repeat(50_000),
				`${'['.repeat(20_000)}${']'.repeat(20_000)}`,
				'{a: '.repeat(20_000),
				'- '.repeat(20_000),
				'? '.repeat(20_000),
			]) {
				expect(readIntents({text, file: 'odd.yaml'}).isErr()).to.equal(true);
			}
		});
	});
});
