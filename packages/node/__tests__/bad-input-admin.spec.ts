import {expect} from 'chai';
import {request} from 'undici';
import {
	exchangeRaw,
	secrets,
	startBench,
	type ListenerBench,
} from './listener-bench.js';

describe('bad input at the admin listener', () => {
	let bench: ListenerBench;

	beforeEach(async () => {
		bench = await startBench();
	});

	afterEach(async () => {
		const answer = await bench.ask();
		expect(answer).to.deep.equal({status: 200, text: 'done'});
		await bench.close();
	});

	const call = async (
		path: string,
		options: {method?: 'GET' | 'POST'; token?: string; body?: string} = {},
	) => {
		const {statusCode, body} = await request(
			`http://${bench.node.addresses.admin}${path}`,
			{
				method: options.method ?? 'GET',
				body: options.body ?? null,
				headers: {
					authorization: `Bearer ${options.token ?? secrets.operator}`,
				},
			},
		);
		return {status: statusCode, text: await body.text()};
	};

	it('lets nobody act as an operator without the secret', async () => {
		// A caller finds the admin port and asks the node to leave. Without the
		// secret any caller could take the whole service down.
		for (const token of ['', 'guess', `${secrets.operator}x`]) {
			// eslint-disable-next-line no-await-in-loop -- one guess after another.
			const {status} = await call('/v1/leave', {method: 'POST', token});
			expect(status).to.equal(401);
		}

		expect(
			await bench.count(
				'egretspoke_malformed_input_total{listener="admin",kind="unauthorized"}',
			),
		).to.equal(3);
		const status = await bench.operate('/v1/status');
		expect(status.text).to.contain('"state":"active"');
	});

	it('refuses a document over the limit', async () => {
		const {status} = await call('/v1/plans', {
			method: 'POST',
			body: 'x'.repeat(100_000),
		});
		expect(status).to.equal(413);
	});

	it('reports every fault of a plan request that is no plan request', async () => {
		for (const body of ['nonsense', '{}', '[]']) {
			// eslint-disable-next-line no-await-in-loop -- one after another.
			const {status, text} = await call('/v1/plans', {method: 'POST', body});
			expect(status).to.equal(422);
			expect(text).to.contain('findings');
		}
	});

	it('refuses paths, plans and requests that it does not know', async () => {
		for (const path of [
			'/',
			'/v1/nonsense',
			'/v1/explain/unknown',
			'/v1/explain/%E0%A4%A',
		]) {
			// eslint-disable-next-line no-await-in-loop -- one after another.
			const {status} = await call(path);
			expect(status, path).to.be.within(400, 499);
		}
	});

	it('closes on what is not HTTP', async () => {
		await exchangeRaw(bench.node.addresses.admin, 'nonsense\r\n\r\n');
		expect(
			await bench.count(
				'egretspoke_malformed_input_total{listener="admin",kind="admin"}',
			),
		).to.equal(1);
	});
});
