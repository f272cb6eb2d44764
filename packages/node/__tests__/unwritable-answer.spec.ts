import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import type {CallerOutcome} from '../src/caller-request.js';
import {refuseAsNotRun} from '../src/entry-refusal.js';
import {
	readAnswers,
	startCallerListener,
	writeRequest,
} from './caller-listener-fixture.js';

describe('an answer of a peer that HTTP can not carry', () => {
	const odd: Record<
		string,
		{status?: number; headers?: Record<string, string>}
	> = {
		'a header value with a line feed': {headers: {'x-name': 'a\nb'}},
		'a header name with a space': {headers: {'x name': 'a'}},
		'a status of 20': {status: 20},
	};
	for (const [title, {status = 200, headers = {'x-b': 'b'}}] of Object.entries(
		odd,
	)) {
		// Guards against a caller without an answer, and against a node that ends by itself because nothing handles the error.
		it(`is one that was lost (${title})`, async () => {
			const fixture = await startCallerListener({
				entry: {
					refuse: ({id = 'none'}, code, retryAfter) => ({
						request: id,
						outcome: refuseAsNotRun(code, retryAfter),
					}),
					handle: async (): Promise<CallerOutcome> => ({
						request: 'a',
						outcome: {
							kind: 'answered',
							answer: {
								status,
								headers: {'content-encoding': 'gzip', ...headers},
								body: Buffer.from('done'),
							},
						},
					}),
				},
			});
			const socket = await fixture.connect();
			socket.write(writeRequest('/', 'connection: close'));
			const [answer] = await readAnswers(socket);
			await fixture.close();
			expect(answer!.status).to.be.within(500, 599);
			expect(answer!.headers['egretspoke-outcome']).to.equal('unknown');
			expect(answer!.headers).not.to.have.property('content-encoding');
			expect(answer!.body).to.include('AnswerLost');
		});
	}
});
