import {createVirtualClock} from '@egretspoke/shared';
import {createMemoryPlatform} from '@egretspoke/stand-ins';
import {expect} from 'chai';
import {createNetwork} from './control-network.js';

const document = `
service: orders-and-payments
deadline: 4s
attempts: 3
requests:
  - match: {method: POST, path: /payments}
    class: essential
    idempotent: false
calls: [loft-queues]
`;

describe('control', () => {
	it('plans, confirms and puts a configuration in force on every node', async () => {
		const clock = createVirtualClock();
		const platform = createMemoryPlatform({clock});
		const network = createNetwork({clock, platform});
		for (const name of ['dc1-a', 'dc1-b', 'dc2-a', 'dc2-b', 'dc3-a']) {
			// eslint-disable-next-line no-await-in-loop -- the nodes start one after another.
			await network.add(name);
		}

		await clock.runTo(10_000);
		const [first] = network.nodes;
		const plan = await first!.control.plan({
			author: 'esi',
			file: 'orders.yaml',
			document,
		});
		const {id, baseVersion} = plan._unsafeUnwrap();
		expect(baseVersion).to.equal(0);
		const answer = await network.nodes[3]!.control.confirm(id);
		expect(answer).to.deep.equal({
			result: 'accepted',
			plan: id,
			version: 1,
			repeated: false,
		});
		await clock.runTo(14_000);
		for (const {control} of network.nodes) {
			expect(control.configuration.current().version).to.equal(1);
			expect(control.membership.self().state).to.equal('active');
			expect(control.membership.members()).to.have.length(5);
		}

		await clock.runTo(24_000);
		const {inForce, platform: state} = first!.control.status();
		expect(inForce.map(({version}) => version)).to.deep.equal([1, 1, 1, 1, 1]);
		expect(state).to.equal('reachable');
	});

	it('puts an accepted version in force despite an outage right after the acceptance', async () => {
		// The write takes effect and the platform goes down at that moment, for
		// hours. If the body were available only there, the version would be accepted
		// and in force nowhere.
		const clock = createVirtualClock();
		const platform = createMemoryPlatform({clock});
		const network = createNetwork({clock, platform});
		for (const name of ['dc1-a', 'dc1-b', 'dc2-a', 'dc2-b', 'dc3-a']) {
			// eslint-disable-next-line no-await-in-loop -- the nodes start one after another.
			await network.add(name);
		}

		await clock.runTo(10_000);
		const {control} = network.nodes[0]!;
		const plan = await control.plan({author: 'a', file: 'f', document});
		platform.faults.delay = 1;
		const confirming = control.confirm(plan._unsafeUnwrap().id);
		await clock.runTo(clock.now() + 5);
		platform.faults.down = true;
		await clock.runTo(clock.now() + 4000);
		expect(await confirming).to.include({result: 'accepted'});
		for (const node of network.nodes) {
			expect(node.versions).to.deep.equal([1]);
		}
	});

	it('returns a stored plan whose response was lost, but no other plan with its id', async () => {
		// The write of the plan takes effect and its response is lost: the operator
		// should receive the plan. Two nodes that generated the same id must not show
		// one operator's plan and confirm the other's.
		const clock = createVirtualClock();
		const platform = createMemoryPlatform({clock});
		const plan = async (author: string) => {
			const network = createNetwork({clock, platform, seed: 9});
			const {control} = await network.add('dc1-a');
			platform.faults.lostAnswers = 1;
			return control.plan({author, file: 'f', document});
		};

		const instant = clock.date();
		clock.date = () => instant;
		const first = await plan('esi');
		expect(first._unsafeUnwrap().author).to.equal('esi');
		platform.faults.lostAnswers = 0;
		const second = await plan('kofi');
		expect(second._unsafeUnwrapErr().kind).to.equal('unavailable');
	});
});
