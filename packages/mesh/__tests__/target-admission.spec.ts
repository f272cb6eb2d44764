import {expect} from 'chai';
import {
	createTargetAdmission,
	type AdmissionRequest,
} from '../src/decisions/admission/target-admission.js';
import {egretspokePolicy} from '../src/decisions/mesh-policy.js';

describe('target admission', () => {
	const innerCall: AdmissionRequest = {
		isNearCompletion: true,
		priority: 2,
		maxWait: 300,
	};
	const newRequest: AdmissionRequest = {
		isNearCompletion: false,
		priority: 0,
		maxWait: 300,
	};

	const createFullAdmission = () => {
		const admission = createTargetAdmission<string>(
			egretspokePolicy.limitOf(21),
		);
		for (let index = 0; index < 19; index++) {
			admission.offer(newRequest, `running ${index}`, 0);
		}

		return admission;
	};

	it('runs at most nineteen requests with twenty-one slots', () => {
		const admission = createFullAdmission();
		expect(admission.offer(newRequest, 'one more', 0)).to.equal('wait');
		expect(admission.running()).to.equal(19);
	});

	it('runs calls of running requests before new requests of a higher priority', () => {
		const admission = createFullAdmission();
		admission.offer(newRequest, 'new', 0);
		admission.offer(innerCall, 'call', 0);
		admission.finish(30);
		expect(admission.next(0)).to.equal('call');
	});

	it('refuses a request immediately when its expected wait exceeds its maximum', () => {
		const admission = createFullAdmission();
		for (let index = 0; index < 40; index++) {
			admission.offer({...newRequest, maxWait: 1000}, `waiting ${index}`, 0);
		}

		expect(admission.offer({...newRequest, maxWait: 20}, 'late', 0)).to.equal(
			'refuse',
		);
	});

	it('returns requests whose maximum wait has passed, once', () => {
		const admission = createFullAdmission();
		admission.offer({...newRequest, maxWait: 50}, 'impatient', 0);
		admission.offer({...newRequest, maxWait: 500}, 'patient', 0);
		expect(admission.expire(100)).to.deep.equal(['impatient']);
		expect(admission.expire(100)).to.deep.equal([]);
		expect(admission.waiting()).to.equal(1);
	});

	it('removes a withdrawn request from the queue', () => {
		const admission = createFullAdmission();
		admission.offer(newRequest, 'left', 0);
		expect(admission.withdraw('left')).to.equal(true);
		admission.finish(30);
		expect(admission.next(0)).to.equal(undefined);
	});
});
