import type {AnswerMessage} from '@egretspoke/protocol';
import {expect} from 'chai';
import {request} from 'undici';
import {startFixture, type ListenerFixture} from './listener-fixture.js';
import {connectOddPeer, oddService, type OddPeer} from './odd-peer.js';

/* eslint-disable @typescript-eslint/no-loop-func, @eslint-community/eslint-comments/disable-enable-pair -- the fixture is set before each case. */

describe('a peer that sends odd values of the right types', () => {
	let fixture: ListenerFixture;
	let peer: OddPeer;

	beforeEach(async () => {
		fixture = await startFixture();
		peer = await connectOddPeer(fixture);
	});

	afterEach(async () => {
		const answer = await fixture.sendRequest();
		expect(answer).to.deep.equal({status: 200, text: 'done'});
		await peer.close();
		await fixture.close();
	});

	const callOddService = async () => {
		const {statusCode, headers, body} = await request(
			`http://${fixture.node.addresses.caller}/x`,
			{headers: {'egretspoke-service': oddService}},
		);
		return {
			status: statusCode,
			outcome: headers['egretspoke-outcome'],
			text: await body.text(),
		};
	};

	const oddAnswers: Record<string, Partial<AnswerMessage>> = {
		'a status out of range': {status: 1e9},
		'a negative status': {status: -1},
		'the status of an interim answer': {status: 100},
		'a header name with a space': {
			headers: Object.fromEntries([['odd name', 'x']]),
		},
		'a header value with a line break': {headers: {x: 'a\r\nset-cookie: b'}},
		'a header value beyond Latin-1': {headers: {x: '\u{1F9B5}'}},
	};
	for (const [name, answer] of Object.entries(oddAnswers)) {
		// Guards against a caller without an answer, and a node that ends, because Node rejects the answer of a peer.
		it(`answers its caller as unknown after ${name}`, async () => {
			peer.answerWith(() => answer);
			const {status, outcome, text} = await callOddService();
			expect(status).to.be.within(500, 599);
			expect(outcome).to.equal('unknown');
			expect(text).to.contain('answer');
		});
	}

	const oddCalls = {
		'a method that is none': {method: 'NO METHOD'},
		'a path that is none': {path: 'no path\r\n'},
		'an empty path': {path: ''},
		'a header with a line break': {headers: {x: 'a\r\nb: c'}},
		'an endless time left': {timeLeft: 1e300},
		'a negative time left': {timeLeft: -1e300},
		'a huge priority': {priority: 1e300},
		'a prototype key as a header': {
			headers: Object.fromEntries([
				['__proto__', 'x'],
				['constructor', 'y'],
			]),
		},
	};
	for (const [name, fields] of Object.entries(oddCalls)) {
		// Guards against slots of the target that stay taken, because its client throws.
		it(`is answered after ${name}, and takes no slot for good`, async () => {
			for (let exchange = 1; exchange <= 10; exchange++) {
				const answered = peer.next('answer');
				peer.send({
					type: 'call',
					exchange,
					role: 'run',
					request: {
						id: `odd-${exchange}`,
						service: 'orders',
						method: 'GET',
						path: '/',
						headers: {},
						body: new Uint8Array(0),
						requestClass: 'normal',
						caller: 'x',
						timeLeft: 1000,
						attempts: 1,
						idempotent: true,
						...fields,
					},
				});
				// eslint-disable-next-line no-await-in-loop -- one call after another.
				expect(await answered).to.include({type: 'answer', exchange});
			}

			const {text} = await fixture.callAdmin('/v1/status');
			expect(JSON.parse(text)).to.have.nested.property('load.inFlight', 0);
		});
	}
});
