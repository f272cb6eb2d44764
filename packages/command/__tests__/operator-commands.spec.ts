import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import type {
	ConfirmAnswer,
	NodeStatus,
	Plan,
	TargetRow,
} from '@egretspoke/protocol';
import {environmentNames} from '../src/index.js';
import {
	run,
	runAgainst,
	startFakeAdmin,
	type FakeAnswer,
} from './fake-admin.js';

const plan: Plan = {
	id: 'p1',
	author: 'abena',
	baseVersion: 4,
	createdAt: '2026-01-01T00:00:00Z',
	changes: [
		{
			service: 'orders',
			path: 'attempts',
			before: '3',
			after: '2',
			effect: 'fewer repeats',
		},
	],
	warnings: ['loft-queues has no target'],
};

const status: NodeStatus = {
	node: 'orders-1',
	incarnation: 7,
	dataCentre: 'accra-a',
	state: 'active',
	uptimeSeconds: 61.2,
	configuration: {version: 5, checksum: 'c', source: 'platform'},
	platform: 'reachable',
	inForce: [
		{
			node: 'orders-1',
			dataCentre: 'accra-a',
			version: 5,
			state: 'active',
			heardSecondsAgo: 0,
		},
		{
			node: 'orders-2',
			dataCentre: 'accra-b',
			version: 4,
			state: 'suspect',
			heardSecondsAgo: 9.4,
		},
	],
	load: {inFlight: 3, limit: 100, waiting: 1, level: 383},
};

const target: TargetRow = {
	service: 'orders',
	node: 'orders-1',
	dataCentre: 'accra-a',
	state: 'active',
	slots: 100,
	connections: 680,
	callerAddress: '127.0.0.1:7400',
	configurationVersion: 5,
	heardSecondsAgo: 0.4,
};

describe('operator commands', () => {
	let directory = '';
	let intent = '';

	beforeEach(() => {
		directory = mkdtempSync(path.join(tmpdir(), 'egretspoke-'));
		intent = path.join(directory, 'orders.yaml');
		writeFileSync(intent, 'service: orders\nattempts: 2\n');
	});

	afterEach(() => {
		rmSync(directory, {recursive: true});
	});

	describe('plan', () => {
		it('sends the document and shows the changes', async () => {
			const {code, output, seen} = await runAgainst(
				{'POST /v1/plans': {status: 200, body: plan}},
				['plan', intent, '--author', 'abena'],
			);
			expect(code).to.equal(0);
			expect(output).to.equal(
				[
					'plan p1 against version 4',
					'SERVICE  KEY       BEFORE  AFTER  EFFECT',
					'orders   attempts  3       2      fewer repeats',
					'warning: loft-queues has no target',
					'to accept it: egretspoke confirm p1',
					'',
				].join('\n'),
			);
			expect(JSON.parse(seen.at(-1)!.body)).to.deep.equal({
				author: 'abena',
				file: intent,
				document: 'service: orders\nattempts: 2\n',
			});
		});

		it('prints the plan as JSON', async () => {
			const {output} = await runAgainst(
				{'POST /v1/plans': {status: 200, body: plan}},
				['plan', intent, '--json'],
			);
			expect(JSON.parse(output)).to.deep.equal(plan);
		});

		it('prints every finding with its place and exits with 1', async () => {
			const findings = [
				{
					place: {file: 'orders.yaml', line: 2, column: 3},
					path: 'attempts',
					message: 'is too large',
					advice: 'expected at most 10',
				},
				{path: 'deadline', message: 'is missing'},
			];
			const {code, errors} = await runAgainst(
				{'POST /v1/plans': {status: 422, body: {findings}}},
				['plan', intent],
			);
			expect(code).to.equal(1);
			expect(errors).to.equal(
				[
					'orders.yaml:2:3 attempts: is too large (expected at most 10)',
					'deadline: is missing',
					'2 findings',
					'',
				].join('\n'),
			);
		});

		it('reports that a file cannot be read', async () => {
			const {code, errors} = await run(['plan', 'nowhere.yaml']);
			expect(code).to.equal(1);
			expect(errors).to.contain(
				'nowhere.yaml:1:1 cannot read the file: ENOENT',
			);
		});
	});

	describe('confirm', () => {
		const confirmCall = 'POST /v1/plans/p1/confirm';
		const confirmWith = async (answer: FakeAnswer, ...rest: string[]) =>
			runAgainst(
				{[confirmCall]: answer, 'GET /v1/status': {status: 200, body: status}},
				['confirm', 'p1', '--wait', '1ms', ...rest],
			);
		const accepted: ConfirmAnswer = {
			result: 'accepted',
			plan: 'p1',
			version: 5,
			repeated: false,
		};

		it('shows at which nodes the version is in force and at which not', async () => {
			const {code, output} = await confirmWith({status: 200, body: accepted});
			expect(code).to.equal(0);
			expect(output).to.equal(
				[
					'plan p1 is accepted as version 5',
					'in force at 1 of 2 nodes',
					'not yet at orders-2 in accra-b: version 4, suspect, last seen 9 s ago',
					'',
				].join('\n'),
			);
		});

		it('prints the answer and the nodes as JSON', async () => {
			const {output} = await confirmWith(
				{status: 200, body: accepted},
				'--json',
			);
			expect(JSON.parse(output)).to.deep.equal({
				...accepted,
				inForce: status.inForce,
			});
		});

		it('reports the plan that was confirmed first', async () => {
			// Two operators plan against version 4, and the other one confirms
			// first. A silent overwrite would revert that change unnoticed.
			const {code, errors} = await confirmWith({
				status: 409,
				body: {
					result: 'conflict',
					plan: 'p1',
					baseVersion: 4,
					currentVersion: 5,
					byPlan: 'p2',
					byAuthor: 'kofi',
				},
			});
			expect(code).to.equal(1);
			expect(errors).to.contain('based on version 4, now 5 by plan p2 of kofi');
		});

		it('exits with 1 when nothing was written', async () => {
			const {code, errors} = await confirmWith({
				status: 503,
				body: {result: 'unavailable', plan: 'p1', detail: 'no connection'},
			});
			expect(code).to.equal(1);
			expect(errors).to.contain('nothing was written: no connection');
		});

		it('exits with 3 when the outcome is unknown to the node', async () => {
			const {code, errors} = await confirmWith({
				status: 503,
				body: {
					result: 'unknown',
					plan: 'p1',
					detail: 'the answer was lost',
					settle: 'egretspoke confirm p1',
				},
			});
			expect(code).to.equal(3);
			expect(errors).to.contain('to settle it: egretspoke confirm p1');
		});

		it('exits with 3 when the answer of the node is lost', async () => {
			// The node fails between writing the plan and answering. If the
			// command reported a failure, the operator would plan the change again.
			const {code, errors} = await confirmWith('cut');
			expect(code).to.equal(3);
			expect(errors).to.contain('it may have been accepted');
		});

		it('exits with 1 when no node answers', async () => {
			const admin = await startFakeAdmin({});
			await admin.close();
			const {code, errors} = await run([
				'confirm',
				'p1',
				'--node',
				admin.address,
			]);
			expect(code).to.equal(1);
			expect(errors).to.contain('no node answers');
		});
	});

	describe('status', () => {
		const answers = {'GET /v1/status': {status: 200, body: status}};

		it('shows the node and the version at every node', async () => {
			const {code, output} = await runAgainst(answers, ['status']);
			expect(code).to.equal(0);
			expect(output).to.contain('configuration  version 5, from the platform');
			expect(output).to.contain('3 in flight of 100, 1 waiting, level 383');
			expect(output).to.contain(
				'orders-2  accra-b      suspect  4        9 s ago',
			);
		});

		it('shows the parts that fail', async () => {
			const path = 'root/configuration';
			const failing = [{path, failures: 3, detail: 'an odd row'}];
			const body = {...status, failing};
			const {output} = await runAgainst(
				{'GET /v1/status': {status: 200, body}},
				['status'],
			);
			expect(output).to.contain(
				'failing        root/configuration, 3 times: an odd row',
			);
		});

		it('prints it as JSON', async () => {
			const {output} = await runAgainst(answers, ['status', '--json']);
			expect(JSON.parse(output)).to.deep.equal(status);
		});
	});

	describe('targets', () => {
		const rows = [target, {...target, service: 'history', node: 'history-1'}];
		const answers = {'GET /v1/targets': {status: 200, body: rows}};

		it('lists them', async () => {
			const {code, output} = await runAgainst(answers, ['targets']);
			expect(code).to.equal(0);
			expect(output.trim().split('\n')).to.have.length(3);
			expect(output).to.match(/^orders {3}orders-1 /mu);
		});

		it('lists those of one service, also as JSON', async () => {
			const {output} = await runAgainst(answers, [
				'targets',
				'--service',
				'history',
				'--json',
			]);
			expect(JSON.parse(output)).to.deep.equal([rows[1]]);
		});
	});

	describe('leave', () => {
		it('calls the node', async () => {
			const {code, seen} = await runAgainst(
				{'POST /v1/leave': {status: 202, body: {result: 'leaving'}}},
				['leave'],
			);
			expect(code).to.equal(0);
			expect(seen.at(-1)?.call).to.equal('POST /v1/leave');
		});

		it('exits with 3 when the answer is lost', async () => {
			const {code} = await runAgainst({'POST /v1/leave': 'cut'}, ['leave']);
			expect(code).to.equal(3);
		});
	});

	it('prefer the node of the option over that of the environment', async () => {
		const admin = await startFakeAdmin({
			'GET /v1/targets': {status: 200, body: []},
		});
		const {code} = await run(['targets', '--node', admin.address], {
			environment: {[environmentNames.node]: '127.0.0.1:1'},
		});
		await admin.close();
		expect(code).to.equal(0);
	});

	describe('the operator secret', () => {
		const answers = {'GET /v1/targets': {status: 200, body: []}};

		it('comes from the environment or from a file', async () => {
			const {seen} = await runAgainst(answers, ['targets'], {
				[environmentNames.secret]: 'from-environment',
			});
			expect(seen[0]?.authorization).to.equal('Bearer from-environment');
			const file = path.join(directory, 'secret');
			writeFileSync(file, 'from-file\n');
			const second = await runAgainst(answers, [
				'targets',
				'--secret-file',
				file,
			]);
			expect(second.seen[0]?.authorization).to.equal('Bearer from-file');
		});

		it('is a usage error when its file cannot be read', async () => {
			const {code, errors} = await run([
				'targets',
				'--secret-file',
				path.join(directory, 'nowhere'),
			]);
			expect(code).to.equal(2);
			expect(errors).to.contain('cannot read the secret file');
		});
	});

	it('report an invalid answer', async () => {
		const {code, errors} = await runAgainst(
			{'GET /v1/status': {status: 200, body: {node: 1}}},
			['status'],
		);
		expect(code).to.equal(1);
		expect(errors).to.contain("the answer can't be read");
	});
});
