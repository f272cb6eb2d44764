import {once} from 'node:events';
import {expect} from 'chai';
import {request} from 'undici';
import {
	exchangeRaw,
	openSocket,
	readToEnd,
	startFixture,
	type ListenerFixture,
} from './listener-fixture.js';

const malformed = (kind: string) =>
	`egretspoke_malformed_input_total{listener="caller",kind="${kind}"}`;

const head = [
	'POST /orders HTTP/1.1',
	'host: node',
	'egretspoke-service: orders',
];

const compose = (lines: string[], body = '') =>
	`${[...head, ...lines].join('\r\n')}\r\n\r\n${body}`;

/** Repeats a check; the timeout of the spec ends one that never succeeds. */
const repeatUntil = async (isTrue: () => Promise<boolean>): Promise<void> => {
	// eslint-disable-next-line no-await-in-loop -- one check after another.
	while (!(await isTrue())) {
		// The input of the other connection has not arrived yet.
	}
};

describe('bad input at the caller listener', () => {
	let fixture: ListenerFixture;

	beforeEach(async () => {
		fixture = await startFixture('slowSender: 200ms');
	});

	afterEach(async () => {
		// The node must still serve other callers after any input.
		const answer = await fixture.sendRequest();
		expect(answer).to.deep.equal({status: 200, text: 'done'});
		await fixture.close();
	});

	const exchange = async (...parts: string[]) =>
		exchangeRaw(fixture.node.addresses.caller, ...parts);

	const expectNothingRun = () => {
		expect(fixture.received()).to.equal(0);
	};

	const sendHeaders = async (
		headers: Record<string, string>,
		options: {method?: 'GET' | 'POST'; body?: string} = {},
	) => {
		const {statusCode, headers: got} = await request(
			`http://${fixture.node.addresses.caller}/orders`,
			{
				method: options.method ?? 'GET',
				headers,
				body: options.body ?? null,
			},
		);
		return {
			status: statusCode,
			error: got['egretspoke-error'],
			outcome: got['egretspoke-outcome'],
		};
	};

	it('refuses headers over the limit', async () => {
		// A client puts a whole document into a cookie. Without a limit, a few such
		// clients would use the memory of every other request.
		const answer = await exchange(compose([`cookie: ${'x'.repeat(8192)}`]));
		expect(answer).to.match(/^HTTP\/1\.1 431 /u);
		expect(answer).to.contain('egretspoke-error: 102 TooLarge');
		expect(await fixture.count(malformed('HPE_HEADER_OVERFLOW'))).to.equal(1);
	});

	it('refuses a body with a length over the limit without reading it', async () => {
		// An upload of gigabytes starts. Its sender gets the refusal while it still
		// sends, and nothing of the body is buffered.
		const answer = await exchange(
			compose([`content-length: ${2 ** 40}`], 'x'.repeat(1000)),
		);
		expect(answer).to.match(/^HTTP\/1\.1 413 /u);
		expect(answer).to.contain('egretspoke-error: 102 TooLarge');
		expect(answer).to.contain('egretspoke-outcome: not-run');
		expect(await fixture.count(malformed('tooLarge'))).to.equal(1);
	});

	it('refuses a body in chunks once it is over the limit', async () => {
		// A chunked body has no length header, so only counting shows that it is
		// too large; without it the node would read until it runs out of memory.
		const chunk = `8000\r\n${'x'.repeat(0x80_00)}\r\n`;
		const answer = await exchange(
			compose(['transfer-encoding: chunked']),
			chunk,
			chunk,
			chunk,
		);
		expect(answer).to.match(/^HTTP\/1\.1 413 /u);
		expect(await fixture.count(malformed('tooLarge'))).to.equal(1);
		expectNothingRun();
	});

	it('runs no request whose body is shorter than its length', async () => {
		// A client dies in the middle of its upload. Half a photo must not be
		// stored as if it were whole.
		const socket = await openSocket(fixture.node.addresses.caller);
		socket.end(compose(['content-length: 100'], 'half'));
		await readToEnd(socket);
		expectNothingRun();
	});

	it('does not read the rest of a body as a second request', async () => {
		// A length that is too small leaves bytes that would be read as the next
		// request of the connection.
		const answer = await exchange(compose(['content-length: 2'], 'four'));
		expect(answer).to.contain('HTTP/1.1 400 Bad Request');
		expect(answer).to.contain('egretspoke-error: 100 MalformedRequest');
	});

	for (const [name, lines] of Object.entries({
		'a length that is not a number': ['content-length: many'],
		'two lengths': ['content-length: 1', 'content-length: 2'],
		'a length and chunks': ['content-length: 4', 'transfer-encoding: chunked'],
		'a header without a colon': ['nonsense'],
	})) {
		it(`refuses ${name}`, async () => {
			const answer = await exchange(compose(lines, 'four'));
			expect(answer).to.match(/^HTTP\/1\.1 400 /u);
			expect(answer.toLowerCase()).to.contain('egretspoke-outcome: not-run');
			expectNothingRun();
		});
	}

	it('refuses input that is not HTTP', async () => {
		const answer = await exchange('\u0016\u0003\u0001 hello\r\n\r\n');
		expect(answer).to.contain('egretspoke-error: 100 MalformedRequest');
	});

	// Guards against a header that only nodes set and that passes their check by a name that targets read without the space.
	it('refuses a header name with a space', async () => {
		for (const line of ['egretspoke-class : essential', 'x y: 1']) {
			// eslint-disable-next-line no-await-in-loop -- one after the other.
			const answer = await exchange(
				compose([line, 'content-length: 0', 'connection: close']),
			);
			expect(answer).to.match(/^HTTP\/1\.1 400 /);
			expect(answer).to.contain('egretspoke-outcome: not-run');
		}

		expectNothingRun();
	});

	it('cuts off a sender that never finishes its headers', async () => {
		// A client sends one byte from time to time. Enough of them would use every
		// connection of the node, and no other client could connect.
		const answer = await exchange('GET /orders HTTP/1.1\r\nhost: no');
		expect(answer).to.match(/^HTTP\/1\.1 408 /u);
		expect(await fixture.count(malformed('ERR_HTTP_REQUEST_TIMEOUT'))).to.equal(
			1,
		);
	});

	it('cuts off a sender that never finishes its body', async () => {
		const answer = await exchange(compose(['content-length: 100'], 'half'));
		expect(answer).to.match(/^HTTP\/1\.1 408 /u);
		expectNothingRun();
	});

	it('refuses a body that exceeds the shared budget, and releases its bytes', async () => {
		// Many uploads arrive at the same time, each within its limit. Buffered
		// together they would end the process; here the last one is refused with a
		// Retry-After.
		await fixture.close();
		fixture = await startFixture('bufferedBodies: 40KB', 'slowSender: 10s');
		const upload = {method: 'POST', body: 'x'.repeat(30_000)} as const;
		const errorOf = async () => {
			const {error} = await sendHeaders(
				{'egretspoke-service': 'orders'},
				upload,
			);
			return error;
		};

		const first = await openSocket(fixture.node.addresses.caller);
		first.write(compose(['content-length: 40000'], upload.body));
		await repeatUntil(async () => (await errorOf()) === '200 Overloaded');
		first.destroy();
		await repeatUntil(async () => (await errorOf()) === '103 KeyRequired');
		expect(await fixture.count(malformed('noRoom'))).to.be.at.least(1);
	});

	it('refuses a request that the target can not be sent', async () => {
		// A scanner sends `GET *`. The client of the target rejected it and lost
		// a connection each time, until every request waited for its deadline.
		for (let count = 0; count < 20; count++) {
			// eslint-disable-next-line no-await-in-loop -- one after another.
			const answer = await exchange(
				'GET * HTTP/1.1\r\nhost: node\r\negretspoke-service: orders\r\nconnection: close\r\n\r\n',
			);
			expect(answer).to.match(/^HTTP\/1\.1 400 /u);
			expect(answer.toLowerCase()).to.contain('egretspoke-outcome: not-run');
		}

		expectNothingRun();
	});

	it('refuses an unknown service', async () => {
		expect(await sendHeaders({'egretspoke-service': 'nowhere'})).to.deep.equal({
			status: 404,
			error: '101 UnknownService',
			outcome: 'not-run',
		});
	});

	it('reports every faulty header in one answer', async () => {
		const {body, statusCode} = await request(
			`http://${fixture.node.addresses.caller}/`,
			{headers: {'egretspoke-deadline': 'soon', 'egretspoke-home': 'x'}},
		);
		const text = await body.text();
		expect(statusCode).to.equal(400);
		expect(text).to.contain('egretspoke-service is missing');
		expect(text).to.contain('egretspoke-deadline must be a whole number');
		expect(text).to.contain('egretspoke-home must be');
		expect(await fixture.count(malformed('header'))).to.equal(1);
	});

	it('refuses a payment without a key, and one without a home', async () => {
		const service = {'egretspoke-service': 'orders'};
		const unkeyed = await sendHeaders(service, {method: 'POST', body: '{}'});
		expect(unkeyed.error).to.equal('103 KeyRequired');
		const unhomed = await sendHeaders(
			{...service, 'idempotency-key': 'k'},
			{method: 'POST', body: '{}'},
		);
		expect(unhomed.error).to.equal('104 HomeRequired');
		expectNothingRun();
	});

	it('refuses an invalid announcement', async () => {
		const {statusCode} = await request(
			`http://${fixture.node.addresses.caller}/.egretspoke/announcement`,
			{method: 'POST', body: '{"service": 1}'},
		);
		expect(statusCode).to.equal(400);
		expect(await fixture.count(malformed('announcement'))).to.equal(1);
	});

	it('still serves after a caller disconnects while its request runs', async () => {
		const socket = await openSocket(fixture.node.addresses.caller);
		socket.write(
			'GET / HTTP/1.1\r\nhost: n\r\negretspoke-service: orders\r\n\r\n',
		);
		socket.resetAndDestroy();
		await once(socket, 'close');
	});
});
