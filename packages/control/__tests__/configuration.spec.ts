import {expect} from 'chai';
import {
	applyIntents,
	classify,
	defaultConfiguration,
	readConfiguration,
	readIntents,
	targetIntentOf,
	writeConfiguration,
} from '../src/index.js';

const intents = readIntents({
	file: 'intent.yaml',
	text: `
- service: orders
  deadline: 2s
  attempts: 2
  requests:
    - match: {method: POST, path: /payments}
      class: essential
    - match: {path: /history}
      class: deferrable
      idempotent: true
    - match: {method: PUT, path: /history/notes}
      idempotent: false
  targets: [{node: vm-17, intent: leave}]
- service: archive
  requests:
    - match: {path: /}
      class: deferrable
`,
})._unsafeUnwrap();

const body = writeConfiguration(4, applyIntents([], intents));
const configuration = readConfiguration(body)._unsafeUnwrap();

describe('configuration', () => {
	it('serializes to the same text regardless of the order of services', () => {
		const reversed = applyIntents([], intents.toReversed()).toReversed();
		expect(writeConfiguration(4, reversed)).to.deep.equal(body);
		expect(writeConfiguration(5, reversed).checksum).not.to.equal(
			body.checksum,
		);
	});

	it('rejects a body that is damaged or of another version', () => {
		// A byte flips in transit from a peer, or the body of one version arrives
		// under the number of another. A node that accepted it would classify payments
		// by rules that were never accepted.
		const {checksum, text, version} = body;
		const damaged = text.replace('essential', 'essentiaI');
		expect(
			readConfiguration({version, checksum, text: damaged})._unsafeUnwrapErr(),
		).to.equal('checksum');
		expect(
			readConfiguration({version: 5, checksum, text})._unsafeUnwrapErr(),
		).to.equal('version');
	});

	it('replaces, adds and removes services by intents', () => {
		const {services} = configuration;
		const next = applyIntents(services, [
			{service: 'archive', removed: true},
			{service: 'boats', attempts: 1},
		]);
		expect(next.map(({service}) => service)).to.deep.equal(['boats', 'orders']);
	});

	it('returns the intent for a target', () => {
		expect(targetIntentOf(configuration, 'vm-17')).to.equal('leave');
		expect(targetIntentOf(configuration, 'vm-18')).to.equal(undefined);
	});

	describe('classification', () => {
		const describeClassification = (
			method: string,
			path: string,
			service = 'orders',
		) => {
			const found = classify(configuration, service, method, path);
			return `${found.requestClass} ${found.idempotent} ${found.deadline} ${found.attempts}`;
		};

		it('applies the rule with the longest path, and a method before none', () => {
			expect(describeClassification('POST', '/payments')).to.equal(
				'essential false 2000 2',
			);
			expect(describeClassification('POST', '/payments/17?x=/')).to.equal(
				'essential false 2000 2',
			);
			expect(describeClassification('POST', '/paymentsX')).to.equal(
				'normal false 2000 2',
			);
			expect(describeClassification('PUT', '/history/')).to.equal(
				'deferrable true 2000 2',
			);
			expect(describeClassification('PUT', '/history/notes/3')).to.equal(
				'normal false 2000 2',
			);
			expect(describeClassification('GET', '/any', 'archive')).to.equal(
				'deferrable true 4000 3',
			);
		});

		it('falls back to safe defaults', () => {
			expect(describeClassification('GET', '/payments')).to.equal(
				'normal true 2000 2',
			);
			expect(describeClassification('POST', '/x', 'unknown')).to.equal(
				'normal false 4000 3',
			);
			const {idempotent} = classify(defaultConfiguration, 'a', 'DELETE', '/');
			expect(idempotent).to.equal(false);
		});
	});
});
