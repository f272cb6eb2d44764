import {expect} from 'chai';
import {formatFindings, readOptions} from '../src/index.js';

describe('the flags', () => {
	it('give one error with every finding', () => {
		const findings = readOptions({
			scenario: 'flood',
			deployment: 'elsewhere',
			seed: '-1',
			policy: ['naive', 'clever'],
		})._unsafeUnwrapErr();
		expect(findings.map(({path}) => path)).to.deep.equal([
			'--scenario',
			'--deployment',
			'--seed',
			'--policy',
		]);
		expect(formatFindings(findings).split('\n')).to.have.lengthOf(4);
	});

	it('read a range of seeds', () => {
		const options = readOptions({
			scenario: 'burst',
			deployment: 'akwaaba',
			sweep: '3..5',
		})._unsafeUnwrap();
		expect(options.seeds).to.deep.equal([3, 4, 5]);
		expect(options.policies).to.deep.equal(['naive', 'egretspoke']);
	});

	it('refuse a range that goes backwards, and a seed beside a range', () => {
		const findings = readOptions({
			scenario: 'burst',
			deployment: 'akwaaba',
			seed: '1',
			sweep: '5..3',
		})._unsafeUnwrapErr();
		expect(findings.map(({path}) => path)).to.deep.equal([
			'--sweep',
			'--sweep',
		]);
	});
});
