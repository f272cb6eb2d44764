import {formatFinding} from '@egretspoke/shared';
import {expect} from 'chai';
import fc from 'fast-check';
import {parseNodeSettings, readNodeSettings} from '../src/index.js';

const minimalLines = [
	'node: orders-1',
	'dataCentre: accra-a',
	'platform: {address: "http://127.0.0.1:7500"}',
];

const findingsOf = (...lines: string[]) =>
	parseNodeSettings(lines.join('\n'), 'node.yaml').match(
		() => [],
		(findings) => findings.map((finding) => formatFinding(finding)),
	);

describe('node settings', () => {
	it('have defaults for all but the node, its data centre and the platform', () => {
		const settings = parseNodeSettings(minimalLines.join('\n'), 'node.yaml');
		const value = settings._unsafeUnwrap();
		expect(value.listeners.caller).to.equal('127.0.0.1:7400');
		expect(value.platform.timeout).to.equal(2000);
		expect(value.limits.body).to.equal(8 * 1024 * 1024);
		expect(value.peers).to.deep.equal([]);
		expect(value.logs).to.deep.equal({
			level: 'info',
			format: 'text',
			sample: 1,
		});
	});

	it('accept a target with its announcement', () => {
		const settings = parseNodeSettings(
			[
				...minimalLines,
				'target:',
				'  address: 127.0.0.1:8080',
				'  announcement: {service: orders, slots: 100, connections: 680}',
			].join('\n'),
			'node.yaml',
		);
		expect(settings._unsafeUnwrap().target?.announcement?.slots).to.equal(100);
	});

	it('report the missing keys of an empty document', () => {
		expect(findingsOf('{}')).to.deep.equal([
			'node.yaml:1:1 node: is missing (expected text)',
			'node.yaml:1:1 dataCentre: is missing (expected text)',
			'node.yaml:1:1 platform: is missing (expected a map of keys)',
		]);
	});

	it('report an unknown key, a wrong unit, a bad address and clashing ports together', () => {
		expect(
			findingsOf(
				...minimalLines,
				'listeners:',
				'  caller: 127.0.0.1:7401',
				'  admin: localhost:7402',
				'limits:',
				'  slowSender: 30',
				'  bodies: 1MB',
			),
		).to.deep.equal([
			'node.yaml:4:1 listeners.peer: port 7401 is taken by listeners.caller (expected a port of its own for each listener and the target)',
			'node.yaml:6:10 listeners.admin: "localhost:7402" is not an address (expected an IP number and a port, such as 10.0.0.1:7400)',
			'node.yaml:8:15 limits.slowSender: 30 has no unit (expected a number with ms, s, m or h, such as 250ms or 4s, at least 1ms, at most 24h)',
			'node.yaml:9:3 limits.bodies: unknown key (nearest known key: body)',
		]);
	});

	it('refuse a peer or admin listener that is open without a secret', () => {
		// The admin listener is bound to the address of the VM without a secret.
		// Every caller in the network could then drain the node.
		const lines = [
			...minimalLines,
			'listeners: {peer: "10.0.0.1:7401", admin: "10.0.0.1:7402"}',
		];
		expect(findingsOf(...lines)).to.have.length(2);
		expect(
			findingsOf(
				...lines,
				'secrets: {peer: 0123456789abcdef, operator: fedcba9876543210}',
			),
		).to.deep.equal([]);
	});

	it('require an advertised address for a wildcard address', () => {
		expect(
			findingsOf(...minimalLines, 'listeners: {caller: "0.0.0.0:7400"}')[0],
		).to.contain("0.0.0.0 can't be advertised");
		expect(
			findingsOf(
				...minimalLines,
				'listeners: {caller: "0.0.0.0:7400"}',
				'advertise: {caller: "10.0.0.1:7400"}',
			),
		).to.deep.equal([]);
	});

	it('refuse a lease that is too short for the probe', () => {
		expect(
			findingsOf(...minimalLines, 'timings: {probe: 2s, lease: 3s}')[0],
		).to.contain('at least twice timings.probe');
	});

	it('allow a free port for every listener', () => {
		expect(
			findingsOf(
				...minimalLines,
				'listeners: {caller: "127.0.0.1:0", peer: "127.0.0.1:0", admin: "127.0.0.1:0"}',
			),
		).to.deep.equal([]);
	});

	it('report a file that cannot be read', () => {
		expect(
			readNodeSettings('nowhere.yaml')
				._unsafeUnwrapErr()
				.map((finding) => formatFinding(finding)),
		).to.deep.equal([
			'nowhere.yaml:1:1 cannot read the file: ENOENT (expected a YAML file that this user may read)',
		]);
	});

	// Guards against a node that starts and can never reach what these name, or ends without naming the key.
	it('refuse addresses that nothing can connect to', () => {
		const platform = (text: string) => [
			...minimalLines.slice(0, 2),
			`platform: ${text}`,
		];
		for (const lines of [
			platform('{address: "http://127.0.0.1:7500/store"}'),
			platform('{address: "http://127.0.0.1:7500?x=1"}'),
			platform('{address: "http://127.0.0.1:0"}'),
			platform(
				String.raw`{address: "http://127.0.0.1:7500", credential: "a\nb"}`,
			),
			[...minimalLines, 'target: {address: "127.0.0.1:0"}'],
			[...minimalLines, 'peers: ["127.0.0.1:0"]'],
			[...minimalLines, 'peers: ["127.0.0.1:99999"]'],
			[...minimalLines, 'advertise: {peer: "127.0.0.1:0"}'],
			[...minimalLines, 'advertise: {caller: "127.0.0.1:0"}'],
		]) {
			expect(findingsOf(...lines), lines.join(' ')).to.have.length(1);
		}
	});

	it('end in findings and never in an error, whatever they contain', () => {
		const key = fc.constantFrom(
			'node',
			'region',
			'dataCentre',
			'listeners',
			'advertise',
			'platform',
			'target',
			'peers',
			'secrets',
			'limits',
			'logs',
			'timings',
			'address',
			'caller',
			'peer',
			'drain',
			'lease',
			'probe',
			'__proto__',
			'constructor',
		);
		const scalar = fc.constantFrom(
			'1e300',
			'-1',
			'.nan',
			'.inf',
			'99999999999999999999',
			'"127.0.0.1:99999"',
			'"127.0.0.1:0"',
			'"[::1]:7400"',
			'"http://[::1"',
			'"%E0%A4%A"',
			'-4s',
			'1e300s',
			'null',
			'""',
			'__proto__',
			'[[[[]]]]',
			'&a [*a]',
			'!!binary x',
		);
		const entry = fc
			.tuple(key, fc.oneof(scalar, fc.tuple(key, scalar)))
			.map(([name, value]) =>
				Array.isArray(value)
					? `${name}: {${value[0]}: ${value[1]}}`
					: `${name}: ${value}`,
			);
		fc.assert(
			fc.property(fc.array(entry, {maxLength: 8}), (entries) => {
				findingsOf(...minimalLines, ...entries);
				findingsOf(...entries);
			}),
			{seed: 1, numRuns: 1000},
		);
	});
});
