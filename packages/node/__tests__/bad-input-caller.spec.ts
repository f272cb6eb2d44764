import {once} from 'node:events';
import {expect} from 'chai';
import {request} from 'undici';
import {
	exchangeRaw,
	openSocket,
	readToEnd,
	startBench,
	type ListenerBench,
} from './listener-bench.js';

const malformed = (kind: string) =>
	`egretspoke_malformed_input_total{listener="caller",kind="${kind}"}`;

const head = [
	'POST /orders HTTP/1.1',
	'host: node',
	'egretspoke-service: orders',
];

const compose = (lines: string[], body = '') =>
	`${[...head, ...lines].join('\r\n')}\r\n\r\n${body}`;

/** Asks again and again; the time limit of the spec ends what never comes. */
const repeatUntil = async (isTrue: () => Promise<boolean>): Promise<void> => {
	// eslint-disable-next-line no-await-in-loop -- one question after another.
	while (!(await isTrue())) {
		// What the other connection sent has not arrived yet.
	}
};

describe('bad input at the caller listener', () => {
	let bench: ListenerBench;

	beforeEach(async () => {
		bench = await startBench('slowSender: 200ms');
	});

	afterEach(async () => {
		// Whatever came in, the node still serves everybody else.
		const answer = await bench.ask();
		expect(answer).to.deep.equal({status: 200, text: 'done'});
		await bench.close();
	});

	const exchange = async (...parts: string[]) =>
		exchangeRaw(bench.node.addresses.caller, ...parts);

	const expectNothingRun = () => {
		expect(bench.received()).to.equal(0);
	};

	const ask = async (
		headers: Record<string, string>,
		options: {method?: 'GET' | 'POST'; body?: string} = {},
	) => {
		const {statusCode, headers: got} = await request(
			`http://${bench.node.addresses.caller}/orders`,
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
		// A client puts a whole document into a cookie. Read without a limit,
		// a few such clients would hold the memory of every other request.
		const answer = await exchange(compose([`cookie: ${'x'.repeat(8192)}`]));
		expect(answer).to.match(/^HTTP\/1\.1 431 /u);
		expect(answer).to.contain('egretspoke-error: 102 TooLarge');
		expect(await bench.count(malformed('HPE_HEADER_OVERFLOW'))).to.equal(1);
	});

	it('refuses a body that is announced over the limit, unread', async () => {
		// An upload of gigabytes starts. Its sender gets the refusal while it
		// still sends, and nothing of what it sends is kept.
		const answer = await exchange(
			compose([`content-length: ${2 ** 40}`], 'x'.repeat(1000)),
		);
		expect(answer).to.match(/^HTTP\/1\.1 413 /u);
		expect(answer).to.contain('egretspoke-error: 102 TooLarge');
		expect(answer).to.contain('egretspoke-outcome: not-run');
		expect(await bench.count(malformed('tooLarge'))).to.equal(1);
	});

	it('refuses a body in chunks once it is over the limit', async () => {
		// A body in chunks announces no length, so only counting shows that it
		// is too large; without it the node would read until memory ends.
		const chunk = `8000\r\n${'x'.repeat(0x80_00)}\r\n`;
		const answer = await exchange(
			compose(['transfer-encoding: chunked']),
			chunk,
			chunk,
			chunk,
		);
		expect(answer).to.match(/^HTTP\/1\.1 413 /u);
		expect(await bench.count(malformed('tooLarge'))).to.equal(1);
		expectNothingRun();
	});

	it('runs nothing for a body shorter than its length', async () => {
		// A client dies in the middle of its upload. Half a photo must not be
		// stored as if it were whole.
		const socket = await openSocket(bench.node.addresses.caller);
		socket.end(compose(['content-length: 100'], 'half'));
		await readToEnd(socket);
		expectNothingRun();
	});

	it('takes what follows a body for no second request', async () => {
		// A length that is too small leaves a rest, which would be read as the
		// next request of that connection.
		const answer = await exchange(compose(['content-length: 2'], 'four'));
		expect(answer).to.contain('HTTP/1.1 400 Bad Request');
		expect(answer).to.contain('egretspoke-error: 100 MalformedRequest');
	});

	for (const [name, lines] of Object.entries({
		'a length that is no number': ['content-length: many'],
		'two lengths': ['content-length: 1', 'content-length: 2'],
		'a length and chunks': ['content-length: 4', 'transfer-encoding: chunked'],
		'a header without a colon': ['nonsense'],
	})) {
		it(`refuses ${name}`, async () => {
			const answer = await exchange(compose(lines, 'four'));
			expect(answer).to.match(/^HTTP\/1\.1 400 /u);
			expect(answer).to.contain('egretspoke-outcome: not-run');
			expectNothingRun();
		});
	}

	it('refuses what is not HTTP', async () => {
		const answer = await exchange('\u0016\u0003\u0001 hello\r\n\r\n');
		expect(answer).to.contain('egretspoke-error: 100 MalformedRequest');
	});

	it('cuts off a sender that never finishes its headers', async () => {
		// A client sends a byte now and then. Enough of them would hold every
		// connection of the node, and nobody else could come in.
		const answer = await exchange('GET /orders HTTP/1.1\r\nhost: no');
		expect(answer).to.match(/^HTTP\/1\.1 408 /u);
		expect(await bench.count(malformed('ERR_HTTP_REQUEST_TIMEOUT'))).to.equal(
			1,
		);
	});

	it('cuts off a sender that never finishes its body', async () => {
		const answer = await exchange(compose(['content-length: 100'], 'half'));
		expect(answer).to.match(/^HTTP\/1\.1 408 /u);
		expectNothingRun();
	});

	it('refuses a body that finds no room beside the others, and frees it', async () => {
		// Many uploads come at once, each within its limit. Kept all together
		// they would end the process; here the last is told when to come back.
		await bench.close();
		bench = await startBench('bufferedBodies: 40KB', 'slowSender: 10s');
		const upload = {method: 'POST', body: 'x'.repeat(30_000)} as const;
		const errorOf = async () => {
			const {error} = await ask({'egretspoke-service': 'orders'}, upload);
			return error;
		};

		const first = await openSocket(bench.node.addresses.caller);
		first.write(compose(['content-length: 40000'], upload.body));
		await repeatUntil(async () => (await errorOf()) === '200 Overloaded');
		first.destroy();
		await repeatUntil(async () => (await errorOf()) === '103 KeyRequired');
		expect(await bench.count(malformed('noRoom'))).to.be.at.least(1);
	});

	it('refuses a service that nobody knows', async () => {
		expect(await ask({'egretspoke-service': 'nowhere'})).to.deep.equal({
			status: 404,
			error: '101 UnknownService',
			outcome: 'not-run',
		});
	});

	it('names every faulty header at once', async () => {
		const {body, statusCode} = await request(
			`http://${bench.node.addresses.caller}/`,
			{headers: {'egretspoke-deadline': 'soon', 'egretspoke-home': 'x'}},
		);
		const text = await body.text();
		expect(statusCode).to.equal(400);
		expect(text).to.contain('egretspoke-service is missing');
		expect(text).to.contain('egretspoke-deadline must be a whole number');
		expect(text).to.contain('egretspoke-home must be');
		expect(await bench.count(malformed('header'))).to.equal(1);
	});

	it('refuses a payment without a key, and one without a home', async () => {
		const service = {'egretspoke-service': 'orders'};
		const unkeyed = await ask(service, {method: 'POST', body: '{}'});
		expect(unkeyed.error).to.equal('103 KeyRequired');
		const unhomed = await ask(
			{...service, 'idempotency-key': 'k'},
			{method: 'POST', body: '{}'},
		);
		expect(unhomed.error).to.equal('104 HomeRequired');
		expectNothingRun();
	});

	it('refuses an announcement that makes no sense', async () => {
		const {statusCode} = await request(
			`http://${bench.node.addresses.caller}/.egretspoke/announcement`,
			{method: 'POST', body: '{"service": 1}'},
		);
		expect(statusCode).to.equal(400);
		expect(await bench.count(malformed('announcement'))).to.equal(1);
	});

	it('survives a caller that goes away while its request runs', async () => {
		const socket = await openSocket(bench.node.addresses.caller);
		socket.write(
			'GET / HTTP/1.1\r\nhost: n\r\negretspoke-service: orders\r\n\r\n',
		);
		socket.resetAndDestroy();
		await once(socket, 'close');
	});
});
