import {formatFinding} from '@egretspoke/shared';
import {expect} from 'chai';
import {readIntents} from '../src/index.js';

const read = (text: string) => readIntents({text, file: 'intent.yaml'});

describe('intent', () => {
	it('parses one service, or a list in JSON', () => {
		const one = read(`
service: orders-and-payments
deadline: 4s
attempts: 3
requests:
  - match: {method: POST, path: /payments}
    class: essential
    idempotent: false
targets:
  - node: vm-17
    intent: leave
`)._unsafeUnwrap();
		expect(one).to.have.length(1);
		expect(one[0]?.deadline).to.equal(4000);
		const list = read('[{"service": "a"}, {"service": "b", "removed": true}]');
		expect(list._unsafeUnwrap().map(({service}) => service)).to.deep.equal([
			'a',
			'b',
		]);
	});

	it('reports all errors at once, each with its position', () => {
		// A file contains several mistakes. If each run reported only the first, the
		// operator would need five runs to get a plan.
		const findings = read(`service: orders
deadlin: 4s
attempts: 0
requests:
  - match: {method: POST, path: /payments}
    class: esential
  - match: {method: POST, path: /payments}
    idempotent: maybe
calls: [orders]
deadline: 4
`)._unsafeUnwrapErr();
		expect(findings.map((finding) => formatFinding(finding))).to.deep.equal([
			'intent.yaml:2:1 deadlin: unknown key (nearest known key: deadline)',
			'intent.yaml:3:11 attempts: 0 is too small (expected at least 1)',
			'intent.yaml:6:12 requests[0].class: "esential" is not allowed here (expected essential, normal, deferrable)',
			'intent.yaml:7:12 requests[1].match: the match POST /payments is given twice (expected one entry)',
			'intent.yaml:8:17 requests[1].idempotent: "maybe" is not allowed here (expected true or false)',
			'intent.yaml:9:9 calls[0]: orders calls itself (expected the names of other services)',
			'intent.yaml:10:11 deadline: 4 has no unit (expected a number with ms, s, m or h, such as 250ms or 4s, at least 10ms, at most 10m)',
		]);
	});

	it('reports the errors of a list with the index of the service', () => {
		const findings = read(`- service: a
  targets: [{node: vm-1, intent: go}]
- service: a
`)._unsafeUnwrapErr();
		expect(findings.map(({path}) => path)).to.deep.equal([
			'[0].targets[0].intent',
			'[1].service',
		]);
	});
});
