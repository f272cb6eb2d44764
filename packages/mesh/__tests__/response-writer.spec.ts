import {Buffer} from 'node:buffer';
import {createServer, get, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createVirtualClock, type CallerExchange} from '@egretspoke/shared';
import {expect} from 'chai';
import {createMemoryBudget} from '../src/decisions/memory/memory-budget.js';
import {createResponseWriter} from '../src/entry/response-writer.js';

describe('the response writer', () => {
	let server: Server;

	afterEach(() => {
		server.close();
	});

	const answerWith = async (headers: string[]) => {
		const write = createResponseWriter({
			clock: createVirtualClock(),
			budget: createMemoryBudget(1e8),
			stallTimeout: () => 1000,
		});
		server = createServer((_request, response) => {
			write({response} as unknown as CallerExchange, {
				kind: 'target',
				status: 200,
				headers,
				body: Buffer.from('body'),
			});
		});
		return new Promise<number | undefined>((resolve) => {
			server.listen(0, '127.0.0.1', () => {
				const {port} = server.address() as AddressInfo;
				get(`http://127.0.0.1:${port}/`, (response) => {
					response.resume();
					resolve(response.statusCode);
				});
			});
		});
	};

	it('writes the headers of an answer', async () => {
		expect(await answerWith(['A', 'b'])).to.equal(200);
	});

	// `writeHead` threw past the handler of the link, and the caller waited for a response that never came.
	it('answers 502 if Node refuses a header', async () => {
		expect(await answerWith(['A b', 'c'])).to.equal(502);
		server.close();
		expect(await answerWith(['A', 'b\nc'])).to.equal(502);
		server.close();
		expect(await answerWith(['A', 'b', 'C'])).to.equal(502);
	});
});
