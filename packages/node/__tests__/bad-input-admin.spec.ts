import {expect} from 'chai';
import {request} from 'undici';
import {
	exchangeRaw,
	secrets,
	startFixture,
	type ListenerFixture,
} from './listener-fixture.js';

describe('bad input at the admin listener', () => {
	let fixture: ListenerFixture;

	beforeEach(async () => {
		fixture = await startFixture();
	});

	afterEach(async () => {
		const answer = await fixture.sendRequest();
		expect(answer).to.deep.equal({status: 200, text: 'done'});
		await fixture.close();
	});

	const call = async (
		path: string,
		options: {method?: 'GET' | 'POST'; token?: string; body?: string} = {},
	) => {
		const {statusCode, body} = await request(
			`http://${fixture.node.addresses.admin}${path}`,
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

	it('refuses operator calls without the secret', async () => {
		// A caller finds the admin port and makes the node leave. Without the
		// secret any caller could take the whole service down.
		for (const token of ['', 'guess', `${secrets.operator}x`]) {
			// eslint-disable-next-line no-await-in-loop -- one guess after another.
			const {status} = await call('/v1/leave', {method: 'POST', token});
			expect(status).to.equal(401);
		}

		expect(
			await fixture.count(
				'egretspoke_malformed_input_total{listener="admin",kind="unauthorized"}',
			),
		).to.equal(3);
		const status = await fixture.callAdmin('/v1/status');
		expect(status.text).to.contain('"state":"active"');
	});

	it('refuses a document over the limit', async () => {
		const {status} = await call('/v1/plans', {
			method: 'POST',
			body: 'x'.repeat(100_000),
		});
		expect(status).to.equal(413);
	});

	it('reports the faults of an invalid plan request', async () => {
		for (const body of ['nonsense', '{}', '[]']) {
			// eslint-disable-next-line no-await-in-loop -- one after another.
			const {status, text} = await call('/v1/plans', {method: 'POST', body});
			expect(status).to.equal(422);
			expect(text).to.contain('findings');
		}
	});

	it('refuses unknown paths, plans and requests', async () => {
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

	it('closes the connection on input that is not HTTP', async () => {
		await exchangeRaw(fixture.node.addresses.admin, 'nonsense\r\n\r\n');
		expect(
			await fixture.count(
				'egretspoke_malformed_input_total{listener="admin",kind="admin"}',
			),
		).to.equal(1);
	});
});
