import {expect} from 'chai';
import {ErrorCode, type LoadReport} from '@egretspoke/protocol';
import {createRandom} from '@egretspoke/shared';
import {
	createEgretspokePolicy,
	type AttemptResult,
	type Mechanism,
	type RoutingCandidate,
	type RoutingPolicy,
} from '../src/index.js';
import {createCall} from './fixtures.js';

const candidate = (
	node: string,
	changes: Partial<RoutingCandidate> = {},
): RoutingCandidate => ({
	node,
	dataCentre: 'a',
	slots: 30,
	connections: 100,
	since: -60_000,
	state: 'active',
	...changes,
});

const report = (changes: Partial<LoadReport> = {}): LoadReport => ({
	inFlight: 0,
	limit: 30,
	waiting: 0,
	queueDelay: 0,
	level: 383,
	serviceTime: 20,
	...changes,
});

const createRoutingOf = (
	candidates: RoutingCandidate[],
	without: Mechanism[] = [],
): RoutingPolicy => {
	const routing = createEgretspokePolicy(new Set(without)).createRouting({
		dataCentre: 'a',
		random: createRandom(3),
	});
	routing.candidatesChanged('orders', candidates, 0);
	return routing;
};

/**
 * Sends one call per millisecond; calls take the given duration. Returns the
 * ratio of calls by node.
 */
const simulate = (
	routing: RoutingPolicy,
	length: number,
	durationAt: (node: string, now: number) => number,
	loadAt?: (node: string) => LoadReport,
): Record<string, number> => {
	const open: Array<{at: number; end: () => void}> = [];
	const counts: Record<string, number> = {};
	for (let now = 0; now < length; now++) {
		for (const {at, end} of open.splice(0)) {
			if (at <= now) {
				end();
			} else {
				open.push({at, end});
			}
		}

		const call = createCall(`call-${now}`, {deadline: now + 5000});
		const decision = routing.choose(call, [], now);
		if (decision.kind === 'send') {
			const {node} = decision;
			const duration = durationAt(node, now);
			counts[node] = (counts[node] ?? 0) + 1 / length;
			routing.started(call, node, now);
			open.push({
				at: now + duration,
				end() {
					const load = loadAt?.(node);
					if (load) {
						routing.observe('orders', node, load, now + duration);
					}

					const result: AttemptResult = {node, duration, result: 'ok'};
					routing.finished(call, result, now + duration);
				},
			});
		}
	}

	return counts;
};

const three = [candidate('one'), candidate('two'), candidate('three')];

const refused = (code: ErrorCode, node = 'one'): AttemptResult => ({
	node,
	duration: 1,
	result: 'notRun',
	code,
	retryAfter: 70,
});

describe('routing', () => {
	describe('with a slow target', () => {
		// One target of three takes ten times as long while its health endpoint
		// reports no problem. Each request sent there is slow for a client.
		const slow = (node: string) => (node === 'one' ? 200 : 20);

		it('sends hardly any requests there', () => {
			const shares = simulate(createRoutingOf(three), 20_000, slow);
			expect(shares.one).to.be.lessThan(0.01);
		});

		it('sends a third there without two choices and ejection', () => {
			const without: Mechanism[] = ['two-choices', 'ejection'];
			const shares = simulate(createRoutingOf(three, without), 20_000, slow);
			expect(shares.one).to.be.greaterThan(0.3);
		});

		it('resumes sending once it is as fast as the others', () => {
			const routing = createRoutingOf(three);
			const shares = simulate(routing, 60_000, (node, now) =>
				node === 'one' && now < 10_000 ? 200 : 20,
			);
			expect(shares.one).to.be.greaterThan(0.15);
		});

		// A common fault makes all targets slow at once. If each were ejected, the
		// remaining ones would be overloaded.
		it('ejects no more than a third of the group', () => {
			const routing = createRoutingOf(three);
			const shares = simulate(routing, 20_000, (node) =>
				node === 'three' ? 20 : 200,
			);
			expect(Object.keys(shares)).to.have.length(3);
		});
	});

	describe('with wrong load reports', () => {
		// A target always reports that it is idle although it is the slowest. If
		// reports could improve a target's rating, it would attract all the load.
		it('sends no more to a target that reports itself as idle', () => {
			const shares = simulate(
				createRoutingOf(three),
				20_000,
				(node) => (node === 'one' ? 40 : 20),
				(node) => report(node === 'one' ? {} : {inFlight: 10}),
			);
			expect(shares.one).to.be.lessThan(0.34);
		});
	});

	describe('by data centre', () => {
		const far = candidate('far', {dataCentre: 'b'});

		it('stays in the local data centre while it has room', () => {
			const routing = createRoutingOf([candidate('near'), far]);
			const shares = simulate(routing, 5000, () => 5);
			expect(shares).to.have.all.keys('near');
		});

		// The target in the local data centre is full while the next data centre's
		// is idle. Staying local would refuse requests that the other could serve.
		it('uses remote targets when the local ones are loaded', () => {
			const routing = createRoutingOf([candidate('near'), far]);
			const shares = simulate(routing, 5000, () => 40);
			expect(shares.far).to.be.greaterThan(0.2);
		});
	});

	describe('with changing members', () => {
		it('sends nothing to a leaving target, and to a suspect one only as a last resort', () => {
			const routing = createRoutingOf([
				candidate('one', {state: 'leaving'}),
				candidate('two', {state: 'suspect'}),
				candidate('three'),
			]);
			expect(simulate(routing, 1000, () => 5)).to.have.all.keys('three');
			const decision = routing.choose(createCall('last'), ['three'], 2000);
			expect(decision).to.include({kind: 'send', node: 'two'});
		});

		it('refuses with NoTarget when no target is available', () => {
			const decision = createRoutingOf([]).choose(createCall('1'), [], 0);
			expect(decision).to.include({kind: 'refuse', code: ErrorCode.NoTarget});
		});

		// A target has just started, with cold caches. Because it looks idle, it
		// would get more requests than the others, and the first of them would
		// time out.
		it('increases the load of a new target only as it answers', () => {
			const joined = [
				candidate('new', {since: 0}),
				candidate('two', {slots: 10}),
				candidate('three', {slots: 10}),
			];
			const cold = (node: string) => (node === 'new' ? 400 : 20);
			const first = simulate(createRoutingOf(joined), 400, cold);
			expect(first.new).to.be.at.most(1 / 400);
			const without = simulate(
				createRoutingOf(joined, ['slow-start']),
				400,
				cold,
			);
			expect(without.new).to.be.greaterThan(10 / 400);
			const warm = simulate(createRoutingOf(joined), 1000, () => 20);
			expect(warm.new).to.be.greaterThan(0.25);
		});

		// All nodes of a service have just started, and forty requests arrive at
		// once. If each target took only one at a time, the others would be
		// refused.
		it('refuses nothing when all targets are new', () => {
			const routing = createRoutingOf([
				candidate('one', {since: 0}),
				candidate('two', {since: 0}),
			]);
			for (let index = 0; index < 40; index++) {
				const call = createCall(String(index));
				const decision = routing.choose(call, [], 1);
				expect(decision.kind).to.equal('send');
				if (decision.kind === 'send') {
					routing.started(call, decision.node, 1);
				}
			}
		});

		it('never sends more requests to a target than its connections', () => {
			const routing = createRoutingOf([candidate('one', {connections: 10})]);
			let sent = 0;
			for (let index = 0; index < 50; index++) {
				const call = createCall(String(index));
				const decision = routing.choose(call, [], 0);
				if (decision.kind === 'send') {
					routing.started(call, decision.node, 0);
					sent++;
				}
			}

			expect(sent).to.equal(10);
		});
	});

	describe('with levels from answers', () => {
		// The service refuses all deferrable requests, and its answers carry that
		// level. Sending more of them would spend a hop on each refusal.
		const lowerLevel = (routing: RoutingPolicy) => {
			const call = createCall('seen', {requestClass: 'deferrable'});
			routing.started(call, 'one', 0);
			const load = report({level: 200});
			routing.finished(call, {node: 'one', duration: 5, result: 'ok', load}, 5);
		};

		const countSent = (routing: RoutingPolicy, until: number) => {
			let sent = 0;
			for (let now = 6; now < until; now++) {
				const call = createCall(`call-${now}`, {requestClass: 'deferrable'});
				sent += routing.choose(call, [], now).kind === 'send' ? 1 : 0;
			}

			return sent;
		};

		it('refuses the class except for a probe every tenth of a second', () => {
			const routing = createRoutingOf(three);
			lowerLevel(routing);
			expect(countSent(routing, 1006)).to.be.within(9, 10);
			const normal = createCall('normal');
			expect(routing.choose(normal, [], 1006).kind).to.equal('send');
		});

		it('sends all requests when the mechanism is off', () => {
			const routing = createRoutingOf(three, ['upstream-refusal']);
			lowerLevel(routing);
			expect(countSent(routing, 1006)).to.equal(1000);
		});
	});

	describe('after a refusal', () => {
		it('retries at another target when the target is leaving', () => {
			const decision = createRoutingOf(three).retry(
				createCall('1'),
				refused(ErrorCode.Leaving),
				10,
			);
			expect(decision).to.deep.include({kind: 'retry', exclude: ['one']});
		});

		it('does not retry when the attempts of the chain are spent', () => {
			const decision = createRoutingOf(three).retry(
				createCall('1', {attempts: 1}),
				refused(ErrorCode.Leaving),
				10,
			);
			expect(decision).to.include({kind: 'refuse', retryAfter: 70});
		});

		it('never retries an attempt with an unknown outcome', () => {
			const decision = createRoutingOf(three).retry(
				createCall('1'),
				{node: 'one', duration: 1, result: 'unknown'},
				10,
			);
			expect(decision.kind).to.equal('refuse');
		});

		// All targets refuse, and every caller tries each of them. The load of the
		// retries keeps the service overloaded after its cause is gone.
		it('does not retry when the whole group refuses', () => {
			const routing = createRoutingOf(three);
			const call = createCall('1');
			let retries = 0;
			for (let index = 0; index < 1000; index++) {
				const result = refused(ErrorCode.LevelTooLow, three[index % 3]!.node);
				routing.started(call, result.node, index);
				routing.finished(call, result, index);
				const decision = routing.retry(call, result, index);
				retries += decision.kind === 'retry' ? 1 : 0;
			}

			expect(retries).to.be.at.most(10);
		});

		// Targets fail one after the other, and each request detects that anew.
		// Without a budget there are three times as many calls as requests.
		it('keeps retries below a tenth of the successes plus the initial budget', () => {
			const routing = createRoutingOf(three);
			let retries = 0;
			for (let index = 0; index < 1000; index++) {
				const call = createCall(String(index), {
					caller: `caller-${index % 50}`,
				});
				const result: AttemptResult =
					index % 2 === 0
						? {node: 'one', duration: 1, result: 'ok'}
						: refused(ErrorCode.TargetUnreachable);
				routing.started(call, 'one', index);
				routing.finished(call, result, index);
				if (result.result === 'notRun') {
					const decision = routing.retry(call, result, index);
					retries += decision.kind === 'retry' ? 1 : 0;
				}
			}

			expect(retries).to.be.within(40, 61);
		});
	});

	describe('attempts of a chain', () => {
		/** The number of calls at the bottom when each layer retries as often as its attempts allow. */
		const callsAtBottom = (
			routing: RoutingPolicy,
			layers: number,
			attempts: number,
		): number => {
			if (layers === 0) {
				return 1;
			}

			const call = createCall('1', {attempts});
			const below = routing.downstreamAttempts(call);
			const used = callsAtBottom(routing, layers - 1, below);
			const again = routing.retry(
				call,
				refused(ErrorCode.TargetUnreachable),
				0,
			);
			return again.kind === 'retry'
				? 1 + callsAtBottom(routing, layers, attempts - 1)
				: used;
		};

		// Each of four layers tries three times, so that one request becomes 81
		// calls at the overloaded service at the bottom.
		it('are never more at the bottom than at the top', () => {
			const counted = createRoutingOf(three);
			expect(callsAtBottom(counted, 4, 3)).to.be.at.most(3);
			expect(
				createRoutingOf(three, ['chain-attempts']).downstreamAttempts(
					createCall('1', {attempts: 1}),
				),
			).to.equal(3);
		});
	});

	it('drops requests and targets that are gone', () => {
		const routing = createRoutingOf(three);
		routing.started(createCall('1'), 'one', 0);
		routing.candidatesChanged('orders', [candidate('two')], 1);
		routing.finished(
			createCall('1'),
			{node: 'one', duration: 5, result: 'ok'},
			5,
		);
		expect(simulate(routing, 100, () => 1)).to.have.all.keys('two');
	});
});
