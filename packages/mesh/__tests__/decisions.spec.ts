import {createRandom} from '@egretspoke/shared';
import {expect} from 'chai';
import {createDeeperLevel} from '../src/decisions/deeper-level.js';
import {createFailureShare} from '../src/decisions/failure-share.js';
import {createInnerRoutes} from '../src/decisions/inner-routes.js';
import {createGate, type GateRequest} from '../src/decisions/gate.js';
import {egretspokePolicy} from '../src/decisions/mesh-policy.js';
import {createRetryBudget} from '../src/decisions/retry-budget.js';
import {createShedLevel, shedShare} from '../src/decisions/shed-level.js';
import {
	selectTarget,
	type Candidate,
} from '../src/decisions/target-selection.js';
import {createTransitDelay} from '../src/decisions/transit-delay.js';
import {createWeightedRotation} from '../src/decisions/weighted-rotation.js';

describe('a weighted rotation', () => {
	it('keeps any run of requests within one request of the weights', () => {
		const rotation = createWeightedRotation([
			{service: 'old', weight: 90},
			{service: 'new', weight: 10},
		]);
		for (let run = 0; run < 50; run++) {
			const taken = Array.from({length: 10}, () => rotation.next());
			expect(taken.filter((service) => service === 'new')).to.have.length(1);
		}
	});

	it('never takes a service of weight 0 beside others', () => {
		const rotation = createWeightedRotation([
			{service: 'old', weight: 0},
			{service: 'new', weight: 5},
		]);
		expect(Array.from({length: 5}, () => rotation.next())).to.not.include(
			'old',
		);
	});
});

describe('a retry budget', () => {
	const options = {ratio: 0.2, allowance: 48, window: 10_000};

	it('bounds what all nodes together send again when a service loses every answer', () => {
		// Every answer of a service is lost while 300 requests a second go to it
		// through 15 nodes that know nothing of each other's retries. Unbounded,
		// the service would get twice its load; users see it drown.
		const nodes = 15;
		const budgets = Array.from({length: nodes}, () =>
			createRetryBudget(options),
		);
		let retries = 0;
		for (let index = 0; index < 3000; index++) {
			const now = (index * 1000) / 300;
			const budget = budgets[index % nodes]!;
			budget.countRequest('orders', now);
			retries += budget.take('orders', now, nodes) ? 1 : 0;
		}

		expect(retries).to.be.within(100, options.ratio * 3000 + options.allowance);
	});

	it('has its part again when the window has passed', () => {
		const budget = createRetryBudget(options);
		const takeAll = (now: number) => {
			let taken = 0;
			while (budget.take('orders', now, 1)) {
				taken++;
			}

			return taken;
		};

		expect(takeAll(0)).to.equal(12);
		expect(takeAll(9000)).to.equal(0);
		expect(takeAll(11_000)).to.equal(12);
	});
});

describe('a gate', () => {
	const inner: GateRequest = {isInner: true, priority: 2, patience: 300};
	const fresh: GateRequest = {isInner: false, priority: 0, patience: 300};

	const createFullGate = () => {
		const gate = createGate<string>(egretspokePolicy.limitOf(21));
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

describe('a shed level', () => {
	it('finds the share that fits under demand of half above capacity, the least important first', () => {
		// Half as much again as a target can run comes for twenty seconds. The
		// queue grows with every period in which more is let in than leaves;
		// users of every kind would wait to the end of their time.
		const level = createShedLevel();
		let waiting = 0;
		const waits: number[] = [];
		for (let period = 0; period < 200; period++) {
			const [low, high] = [90, 60];
			const admitted =
				low * (1 - shedShare(level.value(), 0)) +
				high * (1 - shedShare(level.value(), 1));
			waiting = Math.max(0, waiting + admitted - 100);
			level.update({wait: waiting, occupancy: Math.min(1, admitted / 100)}, 2);
			waits.push(waiting);
		}

		expect(Math.max(...waits.slice(100))).to.be.below(60);
		expect(shedShare(level.value(), 0)).to.be.within(0.4, 0.75);
		expect(shedShare(level.value(), 1)).to.equal(0);
	});

	it('goes back to refusing nothing when the burst is over', () => {
		const level = createShedLevel();
		for (let period = 0; period < 20; period++) {
			level.update({wait: 200, occupancy: 1}, 3);
		}

		for (let period = 0; period < 200; period++) {
			level.update({wait: 0, occupancy: 0.9}, 3);
		}

		expect(level.value()).to.equal(0);
	});

	it('lets everybody in within three seconds once slots are free', () => {
		// Every node starts again after a loss of power, and all callers come at
		// once while the targets are cold. Two seconds later the targets have
		// slots to spare; callers are still refused for as long as the level is up.
		const level = createShedLevel();
		for (let period = 0; period < 20; period++) {
			level.update({wait: 200, occupancy: 1}, 3);
		}

		expect(level.value()).to.be.above(2);
		for (let period = 0; period < 30; period++) {
			level.update({wait: 0, occupancy: 0.6}, 3);
		}

		expect(level.value()).to.equal(0);
	});
});

describe('the level of deeper services', () => {
	it('follows the answers of calls, and is forgotten a second after the last', () => {
		// The deepest service is overloaded, and only the answers of calls tell the
		// service above. When that makes no more calls, it must not go on refusing.
		const level = createDeeperLevel();
		level.note(2, 0);
		expect(level.value(10)).to.equal(2);
		level.note(0, 20);
		expect(level.value(30)).to.equal(1.75);
		expect(level.value(1021)).to.equal(0);
		level.note(0.5, 2000);
		expect(level.value(2001)).to.equal(0.5);
	});
});

describe('the choice of a target', () => {
	const random = createRandom(7);
	const candidate = (changed: Partial<Candidate>): Candidate => ({
		node: 'a',
		isOwn: false,
		isNear: true,
		occupancy: 0.5,
		failureShare: 0,
		isDoubtful: false,
		...changed,
	});

	const count = (candidates: Candidate[], node: string, bodyBytes = 0) =>
		Array.from({length: 300}, () =>
			selectTarget(candidates, random, bodyBytes),
		).filter((chosen) => chosen?.node === node).length;

	it('stays near while a near target has room', () => {
		const candidates = [
			candidate({node: 'near'}),
			candidate({node: 'far', isNear: false, occupancy: 0}),
		];
		expect(count(candidates, 'near')).to.equal(300);
	});

	it('goes elsewhere before the only near target is full', () => {
		const candidates = [
			candidate({node: 'near', occupancy: 0.95}),
			candidate({node: 'far', isNear: false, occupancy: 0.3}),
		];
		expect(count(candidates, 'far')).to.equal(300);
	});

	it('takes the target beside its own node while that has room', () => {
		const own = candidate({node: 'own', isOwn: true});
		const other = candidate({node: 'other', occupancy: 0});
		expect(count([own, other], 'own')).to.equal(300);
		expect(count([{...own, occupancy: 0.9}, other], 'other')).to.equal(300);
	});

	it('does not cross between data centres while all targets are as full', () => {
		// Demand is half above what the service can run, and every target has a
		// queue. Crossing spares no wait then; two thirds of all calls would cross.
		const candidates = [
			candidate({node: 'near', occupancy: 1.3}),
			candidate({node: 'far', isNear: false, occupancy: 1.1}),
			candidate({node: 'further', isNear: false, occupancy: 1.2}),
		];
		expect(count(candidates, 'near')).to.equal(300);
		const slow = [candidate({node: 'near', occupancy: 1.6}), ...candidates];
		expect(
			count(
				slow.filter((_, index) => index !== 1),
				'near',
			),
		).to.equal(0);
	});

	it('has a large upload wait for a near target where a small request crosses', () => {
		const candidates = [
			candidate({node: 'near', occupancy: 1.2}),
			candidate({node: 'far', isNear: false, occupancy: 0.5}),
		];
		expect(count(candidates, 'near', 60_000)).to.equal(300);
		expect(count(candidates, 'far', 500)).to.equal(300);
	});

	it('gives work to a target that has just joined', () => {
		const candidates = [
			candidate({node: 'old'}),
			candidate({node: 'joined', occupancy: 0}),
		];
		expect(count(candidates, 'joined')).to.equal(300);
	});

	it('avoids a target that fails half of its requests and seems idle for it', () => {
		const grey = candidate({node: 'grey', occupancy: 0.1, failureShare: 0.5});
		const candidates = [grey, candidate({node: 'good', occupancy: 0.4})];
		expect(count(candidates, 'grey')).to.equal(0);
		expect(
			count([grey, candidate({node: 'full', occupancy: 0.9})], 'grey'),
		).to.equal(300);
	});

	it('takes failures that all targets share for those of a deeper service', () => {
		const candidates = [
			candidate({node: 'near', failureShare: 0.6}),
			candidate({node: 'far', isNear: false, failureShare: 0.6}),
		];
		expect(count(candidates, 'near')).to.equal(300);
	});

	it('takes a doubtful target only when there is no other', () => {
		const doubtful = candidate({node: 'doubtful', isDoubtful: true});
		expect(
			count([doubtful, candidate({node: 'good', occupancy: 2})], 'doubtful'),
		).to.equal(0);
		expect(count([doubtful], 'doubtful')).to.equal(300);
	});
});

describe('the knowledge of inner routes', () => {
	const createKnown = () => {
		const routes = createInnerRoutes('orders');
		routes.take('history', ['buy', 'look', 'ledger']);
		routes.take('media', ['buy', 'look', 'queue']);
		routes.take('board', ['buy', 'look']);
		return routes;
	};

	it('takes for calls what only the VMs of one service ask for', () => {
		const routes = createKnown();
		expect(routes.isInner('ledger')).to.equal(true);
		expect(routes.isInner('queue')).to.equal(true);
		expect(routes.isInner('buy')).to.equal(false);
	});

	it('says nothing of routes that nobody asked for, or while few services are known', () => {
		expect(createKnown().isInner('new')).to.equal(false);
		const routes = createInnerRoutes('orders');
		routes.take('history', ['ledger']);
		expect(routes.isInner('ledger')).to.equal(false);
	});

	it('has a route told once, and not for single requests', () => {
		const routes = createKnown();
		const told = Array.from({length: 10}, () => routes.note('photos'));
		expect(told.filter(Boolean)).to.have.length(1);
		expect(told[0]).to.equal(false);
		expect(routes.asked()).to.deep.equal(['photos']);
	});
});

describe('the delay of messages', () => {
	it('is what a message took beyond the shortest way, whatever the clocks say', () => {
		// A link is squeezed, and a request lies in it for a second. Its time is
		// over, but it says that it has most of it left.
		const transit = createTransitDelay();
		expect(transit.measure(5000, 100)).to.equal(0);
		expect(transit.measure(5100, 201)).to.equal(1);
		expect(transit.measure(5200, 1300)).to.equal(1000);
	});

	it('gets over a sender whose clock has stood still', () => {
		const transit = createTransitDelay();
		let delay = 0;
		for (let time = 0; time < 12_000; time += 100) {
			const suspended = time > 4000 ? 3000 : 0;
			delay = transit.measure(time - suspended, time);
		}

		expect(delay).to.equal(0);
	});
});

describe('a share of failures', () => {
	it('follows the answers, and sinks while none is tried', () => {
		const share = createFailureShare();
		for (let index = 0; index < 100; index++) {
			share.note(index % 2 === 0, 10_000 + index * 10);
		}

		expect(share.value(11_000)).to.be.within(0.4, 0.6);
		expect(share.value(14_000)).to.be.below(0.1);
	});
});
