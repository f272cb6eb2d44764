import {expect} from 'chai';
import {z} from 'zod';
import {
	durationSchema,
	formatDuration,
	formatFinding,
	formatSize,
	parseDuration,
	parseSize,
	readDocument,
	readDocumentFile,
	sizeSchema,
} from '../src/index.js';

const schema = z.strictObject({
	name: z.string(),
	limits: z
		.strictObject({
			body: sizeSchema.default(1024),
			queueTime: durationSchema.default(100),
		})
		.prefault({}),
	format: z.enum(['text', 'json']).default('text'),
	services: z
		.record(
			z.string(),
			z.discriminatedUnion('kind', [
				z.strictObject({kind: z.literal('fixed'), slots: z.int().min(1)}),
				z.strictObject({kind: z.literal('learnt')}),
			]),
		)
		.default({}),
	peers: z.array(z.strictObject({address: z.string()})).default([]),
});

const findingsOf = (text: string) =>
	readDocument({text, file: 'a.yaml', schema}).match(
		() => [],
		(findings) => findings.map((finding) => formatFinding(finding)),
	);

describe('settings reader', () => {
	it('reads a document and converts its units', () => {
		const text = 'name: a\nlimits: {body: 2KB, queueTime: 1.5s}\n';
		const value = readDocument({text, file: 'a.yaml', schema});
		expect(value._unsafeUnwrap().limits).to.deep.equal({
			body: 2048,
			queueTime: 1500,
		});
	});

	it('reports every fault at once, each with its place', () => {
		const text = [
			'nmae: a',
			'limits:',
			'  body: 32',
			'  queueTme: 4s',
			'  queueTime: 4 sec',
			'format: xml',
			'services:',
			'  orders: {kind: fixed, slots: 0}',
			'  history: {kind: other}',
			'peers:',
			'  - adress: x',
		].join('\n');
		expect(findingsOf(text)).to.deep.equal([
			'a.yaml:1:1 name: is missing (expected text)',
			'a.yaml:1:1 nmae: unknown key (nearest known key: name)',
			'a.yaml:3:9 limits.body: 32 has no unit (expected a number with B, KB, MB or GB, such as 32MB)',
			'a.yaml:4:3 limits.queueTme: unknown key (nearest known key: queueTime)',
			'a.yaml:5:14 limits.queueTime: "4 sec" is not a duration (expected a number with ms, s, m or h, such as 250ms or 4s)',
			'a.yaml:6:9 format: "xml" is not allowed here (expected text, json)',
			'a.yaml:8:32 services.orders.slots: 0 is too small (expected at least 1)',
			"a.yaml:9:19 services.history.kind: \"other\" is not allowed here (expected 'fixed' | 'learnt')",
			'a.yaml:11:5 peers[0].address: is missing (expected text)',
			'a.yaml:11:5 peers[0].adress: unknown key (nearest known key: address)',
		]);
	});

	it('lists the known keys when none is similar', () => {
		expect(findingsOf('name: a\nlimits: {zzzzzz: 1}')).to.deep.equal([
			'a.yaml:2:10 limits.zzzzzz: unknown key (known keys: body, queueTime)',
		]);
	});

	it('reports a duplicate key together with the other faults', () => {
		expect(findingsOf('name: a\nname: b\nformat: 1')).to.deep.equal([
			'a.yaml:2:1 Map keys must be unique',
			'a.yaml:3:9 format: 1 is not allowed here (expected text, json)',
		]);
	});

	it('reports a syntax error with its place', () => {
		const [first] = findingsOf('name: a\nlimits: {body: 2KB\n');
		expect(first).to.match(/^a\.yaml:\d+:\d+ Flow map/u);
	});

	it('reports an empty document, an unknown alias and an unreadable file', () => {
		expect(findingsOf('')).to.deep.equal([
			'a.yaml:1:1 has no value (expected a map of keys)',
		]);
		expect(findingsOf('name: *nowhere')[0]).to.contain('nowhere');
		const missing = readDocumentFile({file: 'nowhere/at-all.yaml', schema});
		expect(missing._unsafeUnwrapErr()[0]?.message).to.equal(
			'cannot read the file: ENOENT',
		);
	});

	it('sorts the findings of a cross check into the others', () => {
		const check = () => [{path: ['limits', 'body'], message: 'clashes'}];
		const text = 'name: 1\nlimits: {body: 1KB}';
		const findings = readDocument({text, file: 'a.yaml', schema, check});
		expect(
			findings._unsafeUnwrapErr().map(({message}) => message),
		).to.deep.equal(['1 is not allowed here', 'clashes']);
	});
});

describe('units', () => {
	it('parses and formats durations', () => {
		expect(
			['250ms', '4s', '2m', '1.5h'].map((text) => parseDuration(text)),
		).to.deep.equal([250, 4000, 120_000, 5_400_000]);
		expect(
			['4', '4 sec', '-1s', '', 's'].map((text) => parseDuration(text)),
		).to.deep.equal(Array.from({length: 5}));
		expect(
			[0, 250, 4000, 90_000].map((value) => formatDuration(value)),
		).to.deep.equal(['0ms', '250ms', '4s', '90s']);
	});

	it('parses and formats sizes', () => {
		expect(
			['512B', '16KB', '32MB'].map((text) => parseSize(text)),
		).to.deep.equal([512, 16_384, 33_554_432]);
		expect(
			['32', '32mb', '32 megabytes'].map((text) => parseSize(text)),
		).to.deep.equal(Array.from({length: 3}));
		expect([100, 16_384].map((value) => formatSize(value))).to.deep.equal([
			'100B',
			'16KB',
		]);
	});
});
