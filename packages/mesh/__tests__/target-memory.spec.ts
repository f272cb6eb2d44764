import {expect} from 'chai';
import type {TargetState} from '../src/links/peer-message.js';
import {createTargetMemory} from '../src/target/target-memory.js';

describe('the memory of the targets of other nodes', () => {
	const target = (overrides: Partial<TargetState> = {}): TargetState => ({
		service: 'orders',
		targetId: 'target-1',
		startedAt: 1000,
		sequence: 1,
		isLeaving: false,
		isReachable: true,
		slots: 20,
		...overrides,
	});
	const limited = {limit: 3, occupancy: 0};
	const unlimited = {limit: Number.POSITIVE_INFINITY, occupancy: 0};

	// Guards against a limit that a restarted node doesn't know.
	it('returns the limit to a node that knows no answer of its target', () => {
		const memory = createTargetMemory();
		memory.recordRate('node', target(), limited);
		expect(memory.compare('node', target(), undefined)).to.deep.include({
			targetId: 'target-1',
			startedAt: 1000,
			rateLimit: 3,
			isLeaving: false,
		});
	});

	// Guards against a limit that ended while the link to the node was down.
	it('drops the limit when the node reports that there is none', () => {
		const memory = createTargetMemory();
		memory.recordRate('node', target(), limited);
		expect(memory.compare('node', target(), unlimited)).to.equal(undefined);
		expect(memory.compare('node', target(), undefined)).to.equal(undefined);
		expect(memory.size()).to.equal(0);
	});

	it('returns the leaving to a node that reports its target as ready', () => {
		const memory = createTargetMemory();
		memory.compare('node', target({isLeaving: true}), unlimited);
		expect(memory.compare('node', target(), unlimited)).to.deep.include({
			isLeaving: true,
		});
	});

	// A restarted node reported an earlier leaving target from its row, and the later leaving was forgotten: requests reached a target that had left.
	it('keeps the leaving of a later target than the one that a restarted node reports', () => {
		const memory = createTargetMemory();
		const earlier = target({targetId: 'earlier', startedAt: 500});
		memory.compare('node', target({isLeaving: true}), undefined);
		memory.compare('node', {...earlier, isLeaving: true}, undefined);
		memory.recordRate('node', earlier, limited);
		expect(memory.compare('node', target(), unlimited)).to.deep.include({
			targetId: 'target-1',
			isLeaving: true,
		});
	});

	// Guards against statements of a predecessor that are applied to the next process.
	for (const next of [{startedAt: 2000}, {targetId: 'target-2'}]) {
		it(`returns nothing for another incarnation, ${JSON.stringify(next)}`, () => {
			const memory = createTargetMemory();
			memory.recordRate('node', target(), limited);
			memory.compare('node', target({isLeaving: true}), undefined);
			expect(memory.compare('node', target(next), undefined)).to.equal(
				undefined,
			);
			expect(memory.size()).to.equal(0);
		});
	}
});
