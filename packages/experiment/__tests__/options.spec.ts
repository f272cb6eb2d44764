import {expect} from 'chai';
import {formatFindings, readOptions} from '../src/index.js';

describe('readOptions', () => {
	it('returns one error with all findings', () => {
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

	it('accepts a range of seeds', () => {
		const options = readOptions({
			scenario: 'burst',
			deployment: 'akwaaba',
			sweep: '3..5',
		})._unsafeUnwrap();
		expect(options.seeds).to.deep.equal([3, 4, 5]);
		expect(options.policies).to.deep.equal(['naive', 'egretspoke']);
	});

	it('rejects a descending range, and a seed together with a range', () => {
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
