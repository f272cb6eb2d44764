import {expect} from 'chai';
import {
	createConnectionBudget,
	createVirtualClock,
	type BudgetedConnection,
	type ConnectionBudget,
	type VirtualClock,
} from '@egretspoke/shared';

/** A connection that holds what its test states. */
type Connection = BudgetedConnection & {
	name: string;
	bytes: number;
	isBusy: boolean;
	checks: number[];
};

describe('the budget of connections', () => {
	let clock: VirtualClock;
	let budget: ConnectionBudget;
	let closed: string[];

	beforeEach(() => {
		clock = createVirtualClock();
		closed = [];
		budget = createConnectionBudget({
			clock,
			limits: {bytes: 100, connections: 4},
		});
	});

	const open = (name: string, bytes: number, isBusy = false) => {
		const connection: Connection = {
			name,
			bytes,
			isBusy,
			checks: [],
			held: () => connection.bytes,
			isIdle: () => !connection.isBusy,
			check(elapsed) {
				connection.checks.push(elapsed);
			},
			close() {
				closed.push(name);
			},
		};
		return {connection, remove: budget.add(connection)};
	};

	describe('of their memory', () => {
		// Guards against a sum that exceeds the memory although each connection is within its limits.
		it('closes those that hold most until the others fit', () => {
			open('small', 20, true);
			open('large', 70, true);
			open('larger', 80, true);
			clock.advanceTo(100);
			expect(closed).to.deep.equal(['larger']);
			expect(budget.held()).to.equal(90);
		});

		it('counts what a connection holds at each check', () => {
			const {connection} = open('growing', 10);
			clock.advanceTo(100);
			connection.bytes = 101;
			clock.advanceTo(200);
			expect(closed).to.deep.equal(['growing']);
		});

		// Guards against answers that arrive faster than the sum is checked.
		it('closes those that hold most when one grows', () => {
			open('small', 20);
			const {connection} = open('growing', 10);
			connection.bytes = 60;
			budget.grow(50);
			expect(closed).to.deep.equal([]);
			connection.bytes = 110;
			budget.grow(50);
			expect(closed).to.deep.equal(['growing']);
		});

		it('closes none that fit', () => {
			open('one', 50);
			open('other', 50);
			clock.advanceTo(1000);
			expect(closed).to.deep.equal([]);
		});
	});

	describe('of their number', () => {
		// Guards against a crowd of silent connections that keeps ordinary callers out.
		it('closes the idle one that holds most for a new one', () => {
			open('busy', 30, true);
			open('first', 10);
			open('second', 20);
			open('third', 10);
			open('new', 10);
			expect(closed).to.deep.equal(['second']);
			expect(budget.size()).to.equal(4);
		});

		it('closes the oldest of equal ones', () => {
			for (const name of ['first', 'second', 'third', 'fourth', 'new']) {
				open(name, 10);
			}

			expect(closed).to.deep.equal(['first']);
		});

		it('closes the new one if a request is in progress on each other', () => {
			for (const name of ['first', 'second', 'third', 'fourth']) {
				open(name, 10, true);
			}

			open('new', 10);
			expect(closed).to.deep.equal(['new']);
			expect(budget.size()).to.equal(4);
		});

		it('counts none that is closed', () => {
			const {remove} = open('first', 10);
			remove();
			for (const name of ['second', 'third', 'fourth', 'fifth']) {
				open(name, 10);
			}

			expect(closed).to.deep.equal([]);
		});
	});

	describe('its checks', () => {
		it('end with the last connection', () => {
			const {remove} = open('one', 10);
			clock.advanceTo(100);
			remove();
			clock.advanceTo(1000);
			expect(clock.pending()).to.equal(0);
		});

		// Guards against clients that are cut off because the process was suspended.
		it('count no more of a suspension than a short time', () => {
			const {connection} = open('one', 10);
			const late = createVirtualClock();
			let now = 0;
			const suspended = createConnectionBudget({
				clock: {...late, now: () => now},
				limits: {bytes: 100, connections: 4},
			});
			suspended.add(connection);
			now = 10_000;
			late.step();
			expect(connection.checks).to.deep.equal([200]);
		});
	});
});
