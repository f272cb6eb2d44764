import {expect} from 'chai';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {
	decodeFrame,
	encodeFrame,
	type PeerMessage,
} from '../src/links/peer-message.js';

const share = fc.integer({min: 0, max: 5000}).map((value) => value / 1000);
const bytes = fc.uint8Array({maxLength: 40});
/** Names and values alternating. */
const headers = fc
	.array(fc.tuple(fc.string(), fc.string()), {maxLength: 3})
	.map((pairs) => pairs.flat());
const request = fc.record({
	requestId: fc.string(),
	method: fc.constantFrom('GET', 'POST'),
	path: fc.string(),
	headers,
	body: fc.option(bytes, {nil: undefined}),
	service: fc.string(),
	isIdempotent: fc.boolean(),
	isInner: fc.boolean(),
	isNearCompletion: fc.boolean(),
	route: fc.string(),
	repeatShare: fc.integer({min: 0, max: 1000}).map((value) => value / 1000),
	crashes: fc.nat(9),
	priority: fc.nat(5),
	maxWait: fc.nat(5000),
	timeLeft: fc.nat(6000),
});
const outcome = fc.oneof(
	fc.record({
		kind: fc.constant('answered' as const),
		status: fc.constantFrom(200, 404, 500),
		headers,
		body: bytes,
	}),
	fc.record({
		kind: fc.constant('refused' as const),
		reason: fc.constantFrom('noRoom' as const, 'targetLeaving' as const),
	}),
	fc.record({
		kind: fc.constant('declined' as const),
		status: fc.constantFrom(421, 503),
	}),
	fc.record({
		kind: fc.constant('lost' as const),
		reason: fc.constantFrom('answerCut' as const, 'linkLost' as const),
	}),
);
const load = fc.option(
	fc.record({
		occupancy: share,
		shedLevel: share,
		failureShare: share,
		runTime: fc.nat(5000),
		declined: fc.constant(0),
		declineLevel: fc.constant(0),
		heldLevel: fc.constant(0),
		demand: fc.constant(0),
	}),
	{nil: undefined},
);
const message: fc.Arbitrary<PeerMessage> = fc.oneof(
	fc.record({
		kind: fc.constant('suspects' as const),
		suspects: fc.array(
			fc.tuple(fc.string({minLength: 1, maxLength: 64}), fc.nat(9), fc.nat(9)),
			{maxLength: 3},
		),
	}),
	fc.record({
		kind: fc.constant('request' as const),
		exchange: fc.nat(),
		request,
	}),
	fc.record({kind: fc.constant('cancel' as const), exchange: fc.nat()}),
	fc.record({
		kind: fc.constant('outcome' as const),
		exchange: fc.nat(),
		outcome,
		load,
	}),
	fc.record({
		kind: fc.constant('load' as const),
		load: fc.record({
			occupancy: share,
			shedLevel: share,
			failureShare: share,
			runTime: fc.nat(5000),
			declined: share,
			declineLevel: share,
			heldLevel: share,
			demand: share,
			rate: fc.record({limit: fc.nat(500), occupancy: share}),
		}),
	}),
	fc.constant({kind: 'ping' as const}),
);

describe('a frame of messages between nodes', () => {
	it('decodes to the messages that were encoded', () => {
		fc.assert(
			fc.property(fc.array(message, {maxLength: 5}), (messages) => {
				const frame = decodeFrame(encodeFrame({sentAt: 12.5, messages}));
				expect(toPlain(frame._unsafeUnwrap())).to.deep.equal(
					toPlain({sentAt: 12.5, messages}),
				);
			}),
			{seed: 1},
		);
	});

	it('returns an error for any malformed bytes', () => {
		// A peer of another version, or an unrelated client, sends bytes that are no
		// frame. Without validation they would end the process of the node.
		const packr = new Packr({useRecords: false});
		const malformed: unknown[] = [
			'text',
			[1],
			[1, [{}]],
			[1, [{kind: 'hello'}]],
			[1, [[0, 1]]],
			[1, [[0, 1, 7, 'GET', '/', [], null, 's', true, true, 0, 0, 1]]],
			[1, [[0, 1, 'id', 'GET', '/', [], 'text', 's', true, true, 0, 0, 1]]],
			[1, [[0, 1, 'id', 'GET', '/', [], null, 's', true, 1, 0, 0, 1]]],
			[1, [[9, 1]]],
			[1, [[3, 1, 'two', 3]]],
			[1, [['toString', 1, 2, 3, 4, 5]]],
			[1, [[2, 1, null, 'answered', 200]]],
			[1, [[2, 1, null, 'constructor', 200]]],
			[
				1,
				[[0, 1, 'id', 'GET', '/', 'headers', null, 's', true, true, 0, 0, 1]],
			],
		];
		const accepted = malformed.filter((value) =>
			decodeFrame(packr.pack(value)).isOk(),
		);
		expect(accepted).to.deep.equal([]);

		fc.assert(
			fc.property(fc.uint8Array({maxLength: 60}), (value) => {
				decodeFrame(value);
			}),
			{seed: 2},
		);
	});

	it('takes less than 200 bytes for a small request', () => {
		const frame = encodeFrame({
			sentAt: 123_456.789,
			messages: [
				{
					kind: 'request',
					exchange: 70_000,
					request: {
						requestId: '9c41d07be2a35f68',
						method: 'GET',
						path: '/shop/list/2f',
						headers: ['Host', 'shop1.example', 'Accept', 'text/html'],
						body: undefined,
						service: 'orders',
						isIdempotent: true,
						isInner: true,
						isNearCompletion: true,
						route: 'read',
						repeatShare: 0,
						crashes: 0,
						priority: 2,
						maxWait: 180.25,
						timeLeft: 4950.125,
					},
				},
			],
		});
		expect(frame.byteLength).to.be.below(200);
	});
});

/** Converts buffers and byte arrays to lists, so that equal contents compare as equal. */
function toPlain(value: unknown): unknown {
	return JSON.parse(
		JSON.stringify(value, (_key, item: unknown) => {
			if (item instanceof Uint8Array) {
				return [...item];
			}

			const isBuffer =
				typeof item === 'object' &&
				item !== null &&
				(item as {type?: string}).type === 'Buffer';
			return isBuffer ? (item as {data: number[]}).data : item;
		}),
	);
}
