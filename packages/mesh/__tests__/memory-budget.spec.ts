import {expect} from 'chai';
import {
	createMemoryBudget,
	type BodyHold,
	type MemoryBudget,
} from '../src/decisions/memory/memory-budget.js';

const megabyte = 1_000_000;

describe('the memory budget', () => {
	let budget: MemoryBudget;
	let collected: string[];

	beforeEach(() => {
		collected = [];
		budget = createMemoryBudget(250 * megabyte, (scope) => {
			collected.push(scope);
		});
	});

	/** Takes memory when it is free, and names what was decided. */
	const wait = (megabytes: number) => {
		const result: {state: string; hold?: BodyHold | undefined} = {
			state: 'waiting',
		};
		const withdraw = budget.holdWhenFree(megabytes * megabyte, (hold) => {
			result.state = hold ? 'held' : 'refused';
			result.hold = hold;
		});
		return {result, withdraw};
	};

	// Three uploads within the limit of the platform took a process over its memory.
	it('holds the largest body of the platform on its smallest VM, and no second one', () => {
		const largest = 64 * 1024 * 1024;
		expect(budget.hold(largest)).not.to.equal(undefined);
		expect(budget.hold(largest)).to.equal(undefined);
		expect(budget.held.largeBodies).to.equal(largest);
	});

	it('keeps memory for small bodies beside large ones', () => {
		wait(67);
		wait(67);
		expect(budget.hold(300_000)).not.to.equal(undefined);
		expect(budget.held.smallBodies).to.equal(300_000);
	});

	it('leaves half of the memory to the program and the collector', () => {
		const kinds = Object.keys(budget.held);
		for (const kind of kinds as Array<keyof typeof budget.held>) {
			while (!budget.isFull(kind)) {
				budget.add(kind, 100_000);
			}
		}

		const total = Object.values(budget.held).reduce((sum, each) => sum + each);
		expect(total).to.be.below(125 * megabyte);
	});

	describe('when a body does not fit', () => {
		it('lets it wait, in the order of arrival', () => {
			const first = wait(50);
			const second = wait(30);
			const third = wait(5);
			expect(first.result.state).to.equal('held');
			expect(second.result.state).to.equal('waiting');
			expect(third.result.state).to.equal('waiting');
			first.result.hold!.release();
			expect(second.result.state).to.equal('held');
			expect(third.result.state).to.equal('held');
		});

		it('goes on with the next one when it is withdrawn', () => {
			wait(50);
			const second = wait(30);
			const third = wait(5);
			second.withdraw();
			expect(second.result.state).to.equal('waiting');
			expect(third.result.state).to.equal('held');
		});

		it('refuses what can never fit, and more than can wait', () => {
			expect(wait(68).result.state).to.equal('refused');
			const states = Array.from({length: 34}, () => wait(60).result.state);
			expect(states[0]).to.equal('held');
			expect(states[32]).to.equal('waiting');
			expect(states[33]).to.equal('refused');
		});
	});

	describe('a hold', () => {
		it('gives its bytes back once all holders have released it', () => {
			const hold = budget.hold(40 * megabyte)!;
			hold.retain();
			hold.release();
			expect(budget.held.largeBodies).to.equal(40 * megabyte);
			hold.release();
			expect(budget.held.largeBodies).to.equal(0);
		});

		it('gives back what a body did not need', () => {
			const hold = budget.hold(60 * megabyte)!;
			const next = wait(30);
			hold.shrink(2 * megabyte);
			expect(next.result.state).to.equal('held');
			hold.release();
			next.result.hold!.release();
			expect(budget.held.largeBodies).to.equal(0);
		});
	});

	it('calls back once when a full share has room again', () => {
		let calls = 0;
		budget.add('streams', 20 * megabyte);
		budget.whenFree('streams', () => {
			calls++;
		});
		const withdraw = budget.whenFree('streams', () => {
			calls += 10;
		});
		withdraw();
		budget.remove('streams', megabyte);
		expect(calls).to.equal(0);
		budget.remove('streams', 19 * megabyte);
		budget.add('streams', 20 * megabyte);
		budget.remove('streams', 20 * megabyte);
		expect(calls).to.equal(1);
	});

	it('runs the collector for dropped parts and dropped bodies', () => {
		budget.dropPart(17 * megabyte);
		expect(collected).to.deep.equal(['recent']);
		budget.hold(40 * megabyte)!.release();
		expect(collected).to.deep.equal(['recent', 'all']);
	});
});
