import {Buffer} from 'node:buffer';
import {decodeMessage, encodeMessage, type Message} from '@egretspoke/protocol';
import {expect} from 'chai';
import fc from 'fast-check';
import {request} from 'undici';
import {
	exchangeRaw,
	secrets,
	startFixture,
	type ListenerFixture,
} from './listener-fixture.js';
import {connectOddPeer} from './odd-peer.js';

const oddSegment = fc.oneof(
	fc.constantFrom(
		'%E0%A4%A',
		'%',
		'%00',
		'%2e%2e',
		'__proto__',
		'constructor',
		'%ED%A0%80',
		'a/b',
		'x'.repeat(2000),
	),
	fc.webSegment({size: 'small'}),
);
const oddNumber = fc.constantFrom(
	0,
	-1,
	1,
	1.5,
	1e6,
	1e300,
	-1e300,
	Number.MAX_SAFE_INTEGER,
);
const oddText = fc.oneof(
	fc.constantFrom(
		'',
		'__proto__',
		'constructor',
		'x'.repeat(1000),
		'\u0000',
		'\uD800',
	),
	fc.string(),
);
const deep = (depth: number) => `${'['.repeat(depth)}${']'.repeat(depth)}`;

describe('odd input of a node', () => {
	let fixture: ListenerFixture;

	beforeEach(async () => {
		fixture = await startFixture();
	});

	afterEach(async () => {
		const answer = await fixture.sendRequest();
		expect(answer).to.deep.equal({status: 200, text: 'done'});
		await fixture.close();
	});

	it('gets an answer at the admin listener', async () => {
		const {admin} = fixture.node.addresses;
		const path = fc
			.tuple(
				fc.constantFrom(
					'/v1/explain/',
					'/v1/plans/',
					'/v1/',
					'/metrics/',
					'//',
				),
				oddSegment,
				fc.constantFrom('', '/confirm', '?x=%E0', '#x'),
			)
			.map((parts) => parts.join(''));
		const body = fc.oneof(
			fc.constantFrom(deep(20_000), '{"__proto__":{}}', 'null', ''),
			fc.json(),
			fc
				.record({
					author: oddText,
					file: oddText,
					document: fc.oneof(oddText, fc.constant(deep(5000))),
				})
				.map((plan) => JSON.stringify(plan)),
		);
		await fc.assert(
			fc.asyncProperty(
				path,
				fc.constantFrom('GET' as const, 'POST' as const),
				body,
				async (odd, method, content) => {
					const answer = await exchangeRaw(
						admin,
						`${method} ${odd.replaceAll(/[^!-~]/gu, '')} HTTP/1.1\r\nhost: n\r\nauthorization: Bearer ${secrets.operator}\r\nconnection: close\r\ncontent-length: ${Buffer.byteLength(content)}\r\n\r\n`,
						content,
					);
					expect(answer).to.match(/^HTTP\/1\.1 [2-5]\d\d /u);
				},
			),
			{seed: 1, numRuns: 200},
		);
	});

	it('gets an answer as an announcement, and the target still gets requests after a right one', async () => {
		const announce = async (body: string) => {
			const answer = await request(
				`http://${fixture.node.addresses.caller}/.egretspoke/announcement`,
				{method: 'POST', body},
			);
			await answer.body.dump();
			return answer.statusCode;
		};

		const announcement = fc
			.record({
				service: fc.oneof(oddText, oddNumber),
				slots: oddNumber,
				connections: oddNumber,
			})
			.map((value) => JSON.stringify(value));
		await fc.assert(
			fc.asyncProperty(
				fc.oneof(fc.json(), fc.constant(deep(20_000)), announcement),
				async (body) => {
					expect(await announce(body)).to.be.oneOf([204, 400]);
				},
			),
			{seed: 1, numRuns: 200},
		);
		expect(
			await announce(
				JSON.stringify({service: 'orders', slots: 4, connections: 8}),
			),
		).to.equal(204);
	});

	it('ends in an error of the decoder of messages', () => {
		const valid: Message = {
			type: 'probe',
			sequence: 1,
			members: [],
			configurationVersion: 0,
		};
		const whole = encodeMessage(valid);
		const damaged = fc
			.array(fc.tuple(fc.nat(whole.length - 1), fc.nat(255)), {
				minLength: 1,
				maxLength: 4,
			})
			.map((changes) => {
				const bytes = Uint8Array.from(whole);
				for (const [index, value] of changes) {
					bytes[index] = value;
				}

				return bytes;
			});
		fc.assert(
			fc.property(
				fc.oneof(fc.uint8Array({maxLength: 200}), damaged),
				(bytes) => {
					decodeMessage(bytes);
				},
			),
			{seed: 1, numRuns: 5000},
		);
		for (const byte of [0x91, 0x81, 0xc7, 0xd4, 0xdd, 0xdf, 0xc6]) {
			expect(
				decodeMessage(new Uint8Array(1_000_000).fill(byte)).isErr(),
			).to.equal(true);
		}
	});

	it('of a peer leaves its callers served', async () => {
		const member = fc.record({
			node: fc.oneof(
				fc.constantFrom('vm-1', 'vm-8', '__proto__', 'constructor'),
				fc.string({minLength: 1}),
			),
			incarnation: fc.constantFrom(0, 1, Number.MAX_SAFE_INTEGER),
			heartbeat: fc.constantFrom(0, 1, Number.MAX_SAFE_INTEGER),
			region: oddText,
			dataCentre: oddText,
			peerAddress: fc.constantFrom(
				'127.0.0.1:99999',
				'127.0.0.1:0',
				'',
				'[::1',
				'127.0.0.1:1',
				'x',
			),
			callerAddress: oddText,
			state: fc.constantFrom(
				'joining' as const,
				'active' as const,
				'suspect' as const,
				'leaving' as const,
				'gone' as const,
			),
			target: fc.record({
				service: fc.constantFrom('mending', '__proto__', 'constructor'),
				slots: fc.constantFrom(1, Number.MAX_SAFE_INTEGER),
				connections: fc.constantFrom(1, Number.MAX_SAFE_INTEGER),
			}),
			configurationVersion: fc.constantFrom(0, 1, Number.MAX_SAFE_INTEGER),
		});
		const load = fc.record({
			inFlight: fc.constantFrom(0, 1, 1e300),
			limit: fc.constantFrom(0, 1, 1e300),
			waiting: fc.constantFrom(0, 1e300),
			queueDelay: fc.constantFrom(0, 1e300),
			level: fc.constantFrom(0, -1e300, 1e300, 383),
			serviceTime: fc.constantFrom(0, 1e300),
		});
		const peer = await connectOddPeer(fixture);
		await fc.assert(
			fc.asyncProperty(
				fc.array(member, {maxLength: 3}),
				load,
				async (members, odd) => {
					peer.answerWith(() => ({load: odd}));
					peer.send({
						type: 'probe',
						sequence: 1,
						members: [peer.member, ...members],
						configurationVersion: 0,
					});
					peer.send({
						type: 'suspects',
						suspects: [['__proto__', 1_000_000_000, 1]],
					});
					const answer = await request(
						`http://${fixture.node.addresses.caller}/x`,
						{
							headers: {
								'egretspoke-service': 'mending',
								'egretspoke-deadline': '300',
							},
						},
					);
					await answer.body.dump();
					expect(answer.statusCode).to.be.within(200, 599);
				},
			),
			{seed: 1, numRuns: 60},
		);
		expect(peer.isClosed()).to.equal(false);
		await peer.close();
	});
});
