import {expect} from 'chai';
import {
	createTargetAdmission,
	type AdmissionRequest,
} from '../src/decisions/target-admission.js';
import {egretspokePolicy} from '../src/decisions/mesh-policy.js';

describe('a gate', () => {
	const inner: AdmissionRequest = {
		isNearItsEnd: true,
		priority: 2,
		patience: 300,
	};
	const fresh: AdmissionRequest = {
		isNearItsEnd: false,
		priority: 0,
		patience: 300,
	};

	const createFullGate = () => {
		const gate = createTargetAdmission<string>(egretspokePolicy.limitOf(21));
		for (let index = 0; index < 19; index++) {
			gate.offer(fresh, `running ${index}`, 0);
		}

		return gate;
	};

	it('hands over no more than nineteen of twenty slots', () => {
		const gate = createFullGate();
		expect(gate.offer(fresh, 'one more', 0)).to.equal('wait');
		expect(gate.running()).to.equal(19);
	});

	it('runs calls of work that has begun before new work of a higher priority', () => {
		const gate = createFullGate();
		gate.offer(fresh, 'new', 0);
		gate.offer(inner, 'call', 0);
		gate.finish(30);
		expect(gate.next()).to.equal('call');
	});

	it('refuses at once what would wait longer than it may', () => {
		const gate = createFullGate();
		for (let index = 0; index < 40; index++) {
			gate.offer({...fresh, patience: 1000}, `waiting ${index}`, 0);
		}

		expect(gate.offer({...fresh, patience: 20}, 'late', 0)).to.equal('refuse');
	});

	it('gives back those whose patience is over, once', () => {
		const gate = createFullGate();
		gate.offer({...fresh, patience: 50}, 'impatient', 0);
		gate.offer({...fresh, patience: 500}, 'patient', 0);
		expect(gate.expire(100)).to.deep.equal(['impatient']);
		expect(gate.expire(100)).to.deep.equal([]);
		expect(gate.waiting()).to.equal(1);
	});

	it('forgets one that was withdrawn', () => {
		const gate = createFullGate();
		gate.offer(fresh, 'left', 0);
		expect(gate.withdraw('left')).to.equal(true);
		gate.finish(30);
		expect(gate.next()).to.equal(undefined);
	});
});
