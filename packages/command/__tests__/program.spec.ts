import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {withProgress} from '../src/progress.js';
import {createColour, type Terminal} from '../src/index.js';
import {run, startFakeAdmin} from './fake-admin.js';

const names = [
	'plan',
	'confirm',
	'status',
	'targets',
	'explain',
	'validate',
	'leave',
	'demo',
];

/** Returns a function that writes a text to a file of this name and validates it; each test has its own directory. */
function useValidation(name: string) {
	let directory = '';

	beforeEach(() => {
		directory = mkdtempSync(path.join(tmpdir(), 'egretspoke-'));
	});

	afterEach(() => {
		rmSync(directory, {recursive: true});
	});

	return async (text: string, ...rest: string[]) => {
		const file = path.join(directory, name);
		writeFileSync(file, text);
		const result = await run(['validate', file, ...rest]);
		return {...result, errors: result.errors.replaceAll(file, name)};
	};
}

describe('program', () => {
	describe('help', () => {
		it('lists the commands and the exit codes', async () => {
			const {code, output} = await run(['--help']);
			expect(code).to.equal(0);
			for (const name of names) {
				expect(output).to.contain(`  ${name} `);
			}

			expect(output).to.contain('3  outcome unknown');
		});

		for (const name of names) {
			it(`has an example for ${name}`, async () => {
				const {code, output} = await run([name, '--help']);
				expect(code).to.equal(0);
				expect(output).to.contain(`Example:\n  egretspoke ${name}`);
			});
		}
	});

	describe('usage errors', () => {
		for (const argumentList of [
			[],
			['nonsense'],
			['plan'],
			['status', '--nonsense'],
			['status', '--timeout', '4'],
			['validate', 'x', '--kind', 'nonsense'],
		]) {
			it(`exits with 2 for "${argumentList.join(' ')}"`, async () => {
				const {code, errors} = await run(argumentList);
				expect(code).to.equal(2);
				expect(errors).not.to.equal('');
			});
		}
	});

	it('prints colours only on a terminal', async () => {
		const admin = await startFakeAdmin({
			'GET /v1/targets': {
				status: 200,
				body: [
					{
						service: 'orders',
						node: 'orders-1',
						dataCentre: 'accra-a',
						state: 'active',
						slots: 1,
						connections: 1,
						callerAddress: '127.0.0.1:1',
						configurationVersion: 1,
						heardSecondsAgo: 0,
					},
				],
			},
		});
		const commandLine = ['targets', '--node', admin.address];
		const plain = await run(commandLine);
		const coloured = await run(commandLine, {hasColour: true});
		await admin.close();
		expect(plain.output).not.to.contain('\u001B');
		expect(coloured.output).to.contain('\u001B[1m');
	});

	describe('validate', () => {
		const validate = useValidation('node.yaml');

		it('prints five findings with their places for five different faults', async () => {
			const {code, errors} = await validate(
				[
					'node: orders-1',
					'dataCenter: accra-a',
					'platform: {address: "127.0.0.1:7500"}',
					'listeners:',
					'  caller: 127.0.0.1:7401',
					'limits: {body: 32}',
				].join('\n'),
			);
			expect(code).to.equal(1);
			expect(errors).to.equal(
				[
					'node.yaml:1:1 dataCentre: is missing (expected text)',
					'node.yaml:2:1 dataCenter: unknown key (nearest known key: dataCentre)',
					'node.yaml:3:21 platform.address: "127.0.0.1:7500" is not allowed here (expected an http or https address, such as http://10.0.0.5:7500)',
					'node.yaml:4:1 listeners.peer: port 7401 is taken by listeners.caller (expected a port of its own for each listener and the target)',
					'node.yaml:6:16 limits.body: 32 has no unit (expected a number with B, KB, MB or GB, such as 32MB)',
					'5 findings',
					'',
				].join('\n'),
			);
		});

		it('prints them as JSON', async () => {
			const {code, output} = await validate('{}', '--json');
			expect(code).to.equal(1);
			expect(
				(JSON.parse(output) as {findings: unknown[]}).findings,
			).to.have.length(3);
		});

		it('reports the detected kind of a valid file', async () => {
			const {code, output} = await validate(
				'node: a\ndataCentre: b\nplatform: {address: "http://127.0.0.1:1"}',
			);
			expect(code).to.equal(0);
			expect(output).to.contain('valid, read as settings');
		});
	});

	describe('validate on an intent', () => {
		const validate = useValidation('intent.yaml');

		it('detects it by its keys, also in a list', async () => {
			for (const text of ['service: orders', '- service: orders']) {
				// eslint-disable-next-line no-await-in-loop -- the files have the same name.
				const {code, output} = await validate(text);
				expect(code).to.equal(0);
				expect(output).to.contain('valid, read as intent');
			}
		});

		it('reports its faults with their places', async () => {
			const {code, errors} = await validate(
				['service: orders', 'atempts: 3', 'deadline: 4'].join('\n'),
			);
			expect(code).to.equal(1);
			expect(errors).to.contain(
				'intent.yaml:2:1 atempts: unknown key (nearest known key: attempts)',
			);
			expect(errors).to.contain('intent.yaml:3:11 deadline: 4 has no unit');
			expect(errors).to.contain('2 findings');
		});

		it('reads the file as the kind of the option', async () => {
			const {code} = await validate('service: orders', '--kind', 'settings');
			expect(code).to.equal(1);
		});
	});

	describe('progress', () => {
		const recordProgress = (canShowProgress: boolean) => {
			const shown: string[] = [];
			const terminal: Terminal = {
				canShowProgress,
				colour: createColour(false),
				environment: {},
				write: () => undefined,
				writeError: (text) => shown.push(text),
			};
			const clock = createVirtualClock();
			let finish: (value: string) => void = () => undefined;
			const work = new Promise<string>((resolve) => {
				finish = resolve;
			});
			const waiting = withProgress({terminal, clock}, 'planning', work);
			return {
				shown,
				clock,
				waiting,
				finish() {
					finish('done');
				},
			};
		};

		it('shows progress from the first second on and erases it', async () => {
			const {shown, clock, waiting, finish} = recordProgress(true);
			clock.advanceTo(999);
			expect(shown).to.deep.equal([]);
			clock.advanceTo(2000);
			finish();
			expect(await waiting).to.equal('done');
			expect(shown).to.deep.equal([
				'\r\u001B[2Kplanning … 1 s',
				'\r\u001B[2Kplanning … 2 s',
				'\r\u001B[2K',
			]);
			expect(clock.pending()).to.equal(0);
		});

		it('prints nothing when there is no terminal', async () => {
			const {shown, clock, waiting, finish} = recordProgress(false);
			clock.advanceTo(5000);
			finish();
			await waiting;
			expect(shown).to.deep.equal([]);
		});
	});
});
