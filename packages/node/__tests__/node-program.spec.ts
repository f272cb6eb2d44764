import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {
	createServer as createHttpServer,
	type Server as HttpServer,
} from 'node:http';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {request} from 'undici';

const program = fileURLToPath(new URL('../src/main.ts', import.meta.url));

/** Runs the program; its output lines are appended to `lines`. */
const start = (...parameters: string[]) => {
	const child = spawn(
		process.execPath,
		['--conditions=source', '--import', 'tsx', program, ...parameters],
		{stdio: ['ignore', 'pipe', 'pipe']},
	);
	const lines: string[] = [];
	const errors: string[] = [];
	const watchers = new Set<() => void>();
	createInterface({input: child.stdout}).on('line', (line) => {
		lines.push(line);
		for (const watch of watchers) {
			watch();
		}
	});
	createInterface({input: child.stderr}).on('line', (line) => {
		errors.push(line);
	});
	const closed = once(child, 'close') as Promise<[number | undefined]>;
	return {
		lines,
		errors,
		async ended() {
			const [code] = await closed;
			return code;
		},
		signal: (name: NodeJS.Signals = 'SIGTERM') => child.kill(name),
		/** Resolves with the first line that matches, whether already written or not. */
		waitFor: async (pattern: RegExp): Promise<RegExpExecArray> =>
			new Promise((resolve) => {
				const watch = () => {
					const found = lines
						.map((line) => pattern.exec(line))
						.find((match) => match !== null);
					if (found) {
						watchers.delete(watch);
						resolve(found);
					}
				};

				watchers.add(watch);
				watch();
			}),
	};
};

const listenAnywhere = async (server: Server | HttpServer) => {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return `127.0.0.1:${port}`;
};

/** The answer as text, or `cut` when the connection ended without one. */
const sendRequest = async (url: string): Promise<string> => {
	try {
		const answer = await request(url, {
			headers: {'egretspoke-service': 'orders'},
		});
		const text = await answer.body.text();
		return `${answer.statusCode} ${text}`;
	} catch {
		return 'cut';
	}
};

describe('the node program', () => {
	let directory = '';

	beforeEach(() => {
		directory = mkdtempSync(path.join(tmpdir(), 'egretspoke-'));
	});

	afterEach(() => {
		rmSync(directory, {recursive: true});
	});

	const write = (...lines: string[]) => {
		const file = path.join(directory, 'node.yaml');
		writeFileSync(file, lines.join('\n'));
		return file;
	};

	/** Settings of a node whose platform is unreachable. */
	const writeSettings = (admin = '127.0.0.1:0', ...rest: string[]) =>
		write(
			'node: vm-1',
			'dataCentre: a',
			'platform: {address: "http://127.0.0.1:1"}',
			`listeners: {caller: "127.0.0.1:0", peer: "127.0.0.1:0", admin: "${admin}"}`,
			'secrets: {operator: operator-secret-0123}',
			...rest,
		);

	describe('checking', () => {
		it('reports all faults without starting', async () => {
			const file = write(
				'node: 1',
				'listeners: {callr: x}',
				'logs: {level: x}',
			);
			const run = start('--settings', file, '--check');
			expect(await run.ended()).to.equal(1);
			expect(run.errors).to.have.length(5);
			expect(run.errors.join('\n')).to.contain(
				`${file}:2:13 listeners.callr: unknown key (nearest known key: caller)`,
			);
		});

		it('exits with 0 for settings without faults', async () => {
			const run = start('--settings', writeSettings(), '--check');
			expect(await run.ended()).to.equal(0);
			expect(run.lines).to.have.length(1);
		});

		it('exits with 2 for an invalid command line', async () => {
			expect(await start('--nonsense').ended()).to.equal(2);
		});
	});

	describe('starting', () => {
		it('prints one line when a port is in use', async () => {
			// Two nodes are configured on one VM with the same port, or an old one
			// still runs. The line has to name the listener instead of a stack.
			const other = createServer();
			const address = await listenAnywhere(other);
			const run = start(
				'--settings',
				writeSettings(address, 'timings: {drain: 100ms}'),
			);
			expect(await run.ended()).to.equal(1);
			other.close();
			expect(run.errors).to.deep.equal([
				`not started: listeners.admin ${address} is taken by another process; choose another port`,
			]);
		});

		it('prints one line for an address that this VM does not have', async () => {
			const run = start('--settings', writeSettings('192.0.2.1:7402'));
			expect(await run.ended()).to.equal(1);
			expect(run.errors).to.have.length(1);
			expect(run.errors[0]).to.contain(
				'192.0.2.1:7402 is no address of this VM',
			);
		});

		it('serves without the platform and logs this in one line', async () => {
			// The platform is down while a VM is replaced. A node that refused to
			// start would turn an outage of the store into one of the service.
			const run = start('--settings', writeSettings());
			await run.waitFor(/ 2001 started /u);
			const unreachable = run.lines.filter((line) => line.includes(' 2301 '));
			expect(unreachable).to.have.length(1);
			expect(unreachable[0]).to.contain("the platform can't be reached");
			run.signal();
			expect(await run.ended()).to.equal(0);
		});
	});

	describe('started while a former process holds a port', () => {
		const writeWith = (listener: string, address: string) => {
			const free = '127.0.0.1:0';
			const listeners = {caller: free, peer: free, admin: free};
			return write(
				'node: vm-1',
				'dataCentre: a',
				'platform: {address: "http://127.0.0.1:1"}',
				`listeners: ${JSON.stringify({...listeners, [listener]: address})}`,
			);
		};

		for (const listener of ['caller', 'peer', 'admin']) {
			// Guards against a successor that ends because the planned stop of the former process takes some seconds.
			it(`waits for the port of listeners.${listener}`, async () => {
				const former = createServer();
				const address = await listenAnywhere(former);
				const run = start('--settings', writeWith(listener, address));
				await run.waitFor(
					new RegExp(
						String.raw` 2090 .*listeners\.${listener} ${address} is taken.*EADDRINUSE`,
						'u',
					),
				);
				former.close();
				await run.waitFor(/ 2001 started /u);
				run.signal();
				expect(await run.ended()).to.equal(0);
				expect(run.errors).to.deep.equal([]);
			});
		}

		for (const name of ['SIGTERM', 'SIGINT'] as const) {
			// Guards against a process that can only be killed while it waits.
			it(`ends with 0 on ${name}`, async () => {
				const former = createServer();
				const address = await listenAnywhere(former);
				const run = start('--settings', writeWith('admin', address));
				await run.waitFor(/ 2090 /u);
				run.signal(name);
				expect(await run.ended()).to.equal(0);
				former.close();
				expect(run.errors).to.deep.equal([]);
			});
		}

		it('serves at the addresses of a former node that still drains', async () => {
			// An operator replaces a node while a request is in flight. The successor
			// starts at once, and its VM must not stay without a node.
			const target = createHttpServer();
			const targetAddress = await listenAnywhere(target);
			const listeners: Record<string, string> = {};
			for (const listener of ['caller', 'peer', 'admin']) {
				const server = createServer();
				// eslint-disable-next-line no-await-in-loop -- one port after another.
				listeners[listener] = await listenAnywhere(server);
				server.close();
			}

			const file = write(
				'node: vm-1',
				'dataCentre: a',
				'platform: {address: "http://127.0.0.1:1"}',
				`listeners: ${JSON.stringify(listeners)}`,
				`target: {address: "${targetAddress}", announcement: {service: orders, slots: 4, connections: 4}}`,
			);
			const former = start('--settings', file);
			await former.waitFor(/ 2001 started /u);
			const arrived = once(target, 'request') as Promise<
				[unknown, {end: (text: string) => void}]
			>;
			const answered = sendRequest(`http://${listeners.caller!}/orders`);
			const [, response] = await arrived;
			former.signal();
			const successor = start('--settings', file);
			await successor.waitFor(/ 2090 /u);
			response.end('done');
			expect(await answered).to.equal('200 done');
			expect(await former.ended()).to.equal(0);
			await successor.waitFor(/ 2001 started /u);
			successor.signal();
			expect(await successor.ended()).to.equal(0);
			target.close();
			target.closeAllConnections();
		});
	});

	describe('receiving SIGHUP', () => {
		// Guards against a node that ends without a line when its terminal closes.
		it('goes on serving and writes a line', async () => {
			const run = start('--settings', writeSettings());
			await run.waitFor(/ 2001 started /u);
			run.signal('SIGHUP');
			run.signal();
			expect(await run.ended()).to.equal(0);
			expect(run.errors).to.deep.equal([
				'SIGHUP ignored; settings are read at the start only',
			]);
		});
	});

	describe('stopped while it starts', () => {
		// Guards against a stop that cuts requests because the node still starts.
		it('drains like a node that has started', async () => {
			const platform = createHttpServer();
			const asked = once(platform, 'request');
			const address = await listenAnywhere(platform);
			const file = write(
				'node: vm-1',
				'dataCentre: a',
				`platform: {address: "http://${address}"}`,
				'listeners: {caller: "127.0.0.1:0", peer: "127.0.0.1:0", admin: "127.0.0.1:0"}',
			);
			const run = start('--settings', file);
			await asked;
			run.signal();
			expect(await run.ended()).to.equal(0);
			platform.close();
			platform.closeAllConnections();
			expect(run.lines.at(-1)).to.contain('drained; 0 requests cut');
		});
	});

	describe('stopping', () => {
		let target: HttpServer;
		let answer: () => void;
		let arrived: Promise<unknown>;

		beforeEach(async () => {
			answer = () => undefined;
			target = createHttpServer((incoming, response) => {
				incoming.resume();
				answer = () => response.end('done');
				target.emit('arrived');
			});
			arrived = once(target, 'arrived');
		});

		afterEach(() => {
			target.close();
			target.closeAllConnections();
		});

		const startWithRequest = async () => {
			const address = await listenAnywhere(target);
			const run = start(
				'--settings',
				writeSettings(
					'127.0.0.1:0',
					`target: {address: "${address}", announcement: {service: orders, slots: 4, connections: 4}}`,
				),
			);
			const [, caller] = await run.waitFor(/ callers (?<caller>[\d.:]+),/u);
			const answered = sendRequest(`http://${caller!}/orders`);
			await arrived;
			return {run, answered};
		};

		it('finishes requests in flight on a first signal', async () => {
			const {run, answered} = await startWithRequest();
			run.signal();
			await run.waitFor(/ 2003 leaving /u);
			answer();
			expect(await answered).to.equal('200 done');
			expect(await run.ended()).to.equal(0);
			expect(run.lines.at(-1)).to.contain('drained; 0 requests cut');
		});

		it('stops immediately on a second one and reports the cut requests', async () => {
			// A target hangs, and the operator does not wait for the drain timeout.
			// The cut has to be reported, because its caller cannot determine what
			// ran.
			const {run, answered} = await startWithRequest();
			run.signal();
			await run.waitFor(/ 2003 leaving /u);
			run.signal();
			expect(await run.ended()).to.equal(1);
			expect(run.errors).to.deep.equal([
				'stopped at once on a second signal; 1 requests cut',
			]);
			expect(await answered).not.to.equal('200 done');
		});
	});
});
