import {createMeshMetrics} from '@egretspoke/observability';
import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import type {DecidingVersion} from '../src/configuration/deciding-version.js';
import {createRouteTable} from '../src/configuration/route-table.js';
import {createCallGraph} from '../src/decisions/admission/call-graph.js';
import {createInnerRoutes} from '../src/decisions/admission/inner-routes.js';
import {egretspokePolicy} from '../src/decisions/mesh-policy.js';
import {createRetryBudget} from '../src/decisions/repeats/retry-budget.js';
import type {FinalAnswer} from '../src/entry/caller-request.js';
import {
	createForwardingContext,
	forwardRequest,
} from '../src/entry/request-forwarding.js';
import {idleLoad, type OutcomeHandler} from '../src/links/exchange.js';
import type {TargetDispatcher} from '../src/target/target-dispatcher.js';
import {createDeadlineWheel} from '../src/timing/deadline-wheel.js';

const currentVersion: DecidingVersion = {configuration: 1};

describe('forwarding a request', () => {
	const createFixture = (
		shed: number,
		decidedBy: DecidingVersion = currentVersion,
	) => {
		const clock = createVirtualClock();
		const random = createRandom(1);
		const events: string[] = [];
		const sent: OutcomeHandler[] = [];
		const ended: Array<FinalAnswer | undefined> = [];
		let timers = 0;
		let cancels = 0;
		let listings = 0;
		const dispatcher: Pick<
			TargetDispatcher,
			'serves' | 'load' | 'recordCall' | 'send'
		> = {
			serves: () => true,
			load: () => idleLoad,
			recordCall: () => 0,
			send(_request, onOutcome) {
				sent.push(onOutcome);
				return () => {
					cancels++;
				};
			},
		};
		const context = createForwardingContext({
			clock,
			random,
			wheel: createDeadlineWheel({
				...clock,
				setTimer(delay, callback) {
					timers++;
					return clock.setTimer(delay, callback);
				},
			}),
			directory: {
				candidates() {
					listings++;
					return [];
				},
				size: () => 1,
			},
			dispatcher: dispatcher as TargetDispatcher,
			budget: createRetryBudget(
				{ratio: 0.2, allowance: 10, window: 10_000},
				random.fork(),
			),
			innerRoutes: createInnerRoutes('orders'),
			graph: createCallGraph(),
			pressure: {
				recordRequest: () => undefined,
				isShedding: () => false,
				takeWorkspaceLoads: () => undefined,
				workspacesAboveShare: () => 0,
				shareRefused: () => shed,
				refresh: () => undefined,
			},
			quotas: {recordAdmitted: () => undefined},
			suspects: {lookUp: () => undefined},
			onNewRoute: () => undefined,
			policy: egretspokePolicy,
			reporter: {
				notice: () => undefined,
				decision(name, _request, reason) {
					events.push(`${name} ${reason}`);
				},
			},
			metrics: createMeshMetrics(),
			isStopping: () => false,
		});
		const route = createRouteTable({
			version: 1,
			limits: {
				headerBytes: 16_384,
				bodyBytes: 16_384,
				headerTime: 1000,
				idleTime: 1000,
			},
			routes: [
				{
					name: 'read',
					host: 'shop.example',
					prefix: '/',
					services: [{service: 'orders', weight: 1}],
					priority: 0,
					isIdempotent: true,
					isPublic: false,
					timeout: 2000,
					objective: 1000,
					attempts: 2,
				},
			],
		}).findRoute('shop.example', '/')!;
		const leave = forwardRequest(
			context,
			{
				requestId: 'any',
				method: 'GET',
				host: 'shop.example',
				path: '/',
				headers: [],
				body: undefined,
				bodyHold: undefined,
				workspaceKey: undefined,
				arrivedAt: clock.now(),
				timeLeft: 1500,
			},
			{route, workspace: undefined, urgency: 0, decidedBy},
			(final) => {
				ended.push(final);
			},
		);
		return {
			clock,
			events,
			sent,
			ended,
			leave,
			counts: () => ({timers, cancels, listings}),
		};
	};

	it('answers a shed request before anything is created for it', () => {
		// A third of the requests of the heaviest days is refused. If a refusal cost
		// as much as a call, refusing would not relieve a node that is short of
		// processor time.
		const {events, sent, ended, leave, counts} = createFixture(1);
		expect(ended).to.have.length(1);
		expect(ended[0]).to.include({kind: 'own', status: 503, reason: 'shed'});
		expect(ended[0]).to.have.property('retryAfter').that.is.above(0);
		expect(events).to.deep.equal(['meshOwnAnswer shed']);
		leave();
		expect(ended).to.have.length(1);
		expect(sent).to.have.length(0);
		expect(counts()).to.deep.equal({timers: 0, cancels: 0, listings: 0});
	});

	// Guards against requests of a replaced configuration that no log line tells from others.
	it('reports a request routed by a configuration that is known to be replaced', () => {
		const outdated = {configuration: 1, newerConfiguration: 3};
		const eventsAfter = (newerKnownFor: number) =>
			createFixture(0, {...outdated, newerKnownFor}).events;
		expect(eventsAfter(199)).to.deep.equal([]);
		expect(eventsAfter(200)).to.deep.equal(['meshOutdatedRoute newerKnown']);
		expect(eventsAfter(30_000)).to.deep.equal([]);
	});

	it('answers at the deadline and ignores the later outcome', () => {
		const {clock, sent, ended, counts} = createFixture(0);
		clock.advanceTo(1600);
		expect(ended).to.have.length(1);
		expect(ended[0]).to.include({status: 504, reason: 'timeout'});
		sent[0]!(
			{kind: 'answered', status: 200, headers: [], body: new Uint8Array(0)},
			undefined,
		);
		expect(ended).to.have.length(1);
		expect(counts().cancels).to.equal(1);
	});

	it('cancels the attempt of a caller that has disconnected, once', () => {
		const {clock, ended, leave, counts} = createFixture(0);
		leave();
		leave();
		clock.advanceTo(5000);
		expect(ended).to.deep.equal([undefined]);
		expect(counts().cancels).to.equal(1);
	});

	it('does not send a lost request again when no other target is left', () => {
		// The lost request may have run, so the answer must not certify "not run".
		const {sent, ended} = createFixture(0);
		sent[0]!({kind: 'lost', reason: 'connectionLost'}, undefined);
		expect(sent).to.have.length(1);
		expect(ended[0]).to.include({status: 502, reason: 'noOtherTarget'});
		expect(ended[0]).not.to.have.property('retryAfter');
	});
});
