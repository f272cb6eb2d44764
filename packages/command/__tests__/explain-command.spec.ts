import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import type {Explanation} from '@egretspoke/protocol';
import {run, runAgainst} from './fake-admin.js';

const explanation: Explanation = {
	request: 'r1',
	node: 'orders-1',
	decisions: [
		{
			at: '2026-01-01T00:00:00.000Z',
			event: 1303,
			name: 'admissionRefused',
			reason: 'level 100 is below 130',
			details: {waiting: 4},
		},
	],
};

describe('explain from logs', () => {
	const directory = mkdtempSync(path.join(tmpdir(), 'explain-'));
	const file = path.join(directory, 'orders-1.jsonl');
	const entry = {
		at: '2026-01-01T00:00:10.000Z',
		event: 1601,
		name: 'meshOwnAnswer',
		node: 'orders-1',
		request: 'abc',
		message: 'answered 503 by this node: noTarget',
		details: {service: 'orders'},
	};

	before(() => {
		writeFileSync(file, `${JSON.stringify(entry)}\nrubbish\n`);
	});

	after(() => {
		rmSync(directory, {recursive: true});
	});

	it('shows the trace of a request without calling a node', async () => {
		const {code, output} = await run(['explain', 'abc', '--logs', file]);
		expect(code).to.equal(0);
		expect(output).to.contain('answered 503 by this node: noTarget');
		expect(output).to.contain('service=orders');
		expect(output).to.contain('1 lines could not be read');
	});

	it('reports that no line is about the request', async () => {
		const {code, output} = await run(['explain', 'other', '--logs', file]);
		expect(code).to.equal(1);
		expect(output).to.contain('no line about request other');
	});

	it('reports the name of a file that it cannot read', async () => {
		const missing = path.join(directory, 'missing');
		const {code, errors} = await run(['explain', 'abc', '--logs', missing]);
		expect(code).to.equal(2);
		expect(errors).to.contain(`cannot read the log ${missing}: ENOENT`);
	});
});

describe('explain', () => {
	it('shows each decision with its reason', async () => {
		const {code, output} = await runAgainst(
			{'GET /v1/explain/r1': {status: 200, body: explanation}},
			['explain', 'r1'],
		);
		expect(code).to.equal(0);
		expect(output).to.contain('request r1 at node orders-1');
		expect(output).to.contain('level 100 is below 130');
		expect(output).to.contain('waiting=4');
	});

	it('exits with 1 for a request that the node does not know', async () => {
		const {code, errors} = await runAgainst({}, ['explain', 'r9']);
		expect(code).to.equal(1);
		expect(errors).to.contain('not known (404)');
	});
});
