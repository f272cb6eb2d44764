import {
	createDecisionHistory,
	createEventLog,
	createMetrics,
	type NodeReadings,
} from '@egretspoke/observability';
import {
	createUnknownOutcome,
	createRefusal,
	ErrorCode,
} from '@egretspoke/protocol';
import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createObservingReporter} from '../src/index.js';

const readings: NodeReadings = {
	configurationVersion: 1,
	versions: {
		source: undefined,
		age: undefined,
		delay: 0,
		newestReported: 0,
		silence: {},
	},
	isPlatformReachable: true,
	isLeaving: false,
	openRequests: 0,
	peersConnected: 0,
	members: {},
	ledgerKeys: 0,
	ledgerBytes: 0,
	logLinesDropped: 0,
};

const createObserved = () => {
	const clock = createVirtualClock();
	const written: string[] = [];
	const log = createEventLog({
		node: 'a',
		level: 'info',
		format: 'text',
		sample: 1,
		clock,
		sink: {isReady: () => true, write: (batch) => written.push(batch)},
	});
	const memory = createDecisionHistory();
	const metrics = createMetrics(() => readings);
	const reporter = createObservingReporter({log, metrics, memory, clock});
	return {log, memory, metrics, reporter, written};
};

describe('observing reporter', () => {
	it('logs, stores and counts a decision', async () => {
		const {log, memory, metrics, reporter, written} = createObserved();
		reporter.recordDecision({
			name: 'retried',
			request: 'r1',
			reason: 'not run at b',
			service: 'orders',
		});
		log.flush();
		expect(written.join('')).to.contain('1201 retried node=a request=r1');
		expect(memory.explain('r1')[0]?.reason).to.equal('not run at b');
		expect(await metrics.render()).to.contain(
			'egretspoke_retries_total{service="orders"} 1',
		);
	});

	it('logs and counts events', async () => {
		const {log, metrics, reporter, written} = createObserved();
		reporter.recordEvent({name: 'malformedRequest', fault: 'tooLarge'});
		reporter.recordEvent({name: 'peerRefused', detail: 'wrong signature'});
		reporter.recordEvent({name: 'operatorRefused', detail: 'unauthorized'});
		reporter.recordEvent({name: 'memberChanged', node: 'b', state: 'gone'});
		log.flush();
		expect(written.join('')).to.contain('member b is gone');
		const text = await metrics.render();
		expect(text).to.contain('listener="caller",kind="tooLarge"} 1');
		expect(text).to.contain('listener="admin",kind="unauthorized"} 1');
		expect(text).to.contain('listener="peer",kind="handshake"} 1');
	});

	it('counts an unknown outcome under its error, and stores the end of the request', async () => {
		const {memory, metrics, reporter} = createObserved();
		reporter.recordRequestEnd({
			request: 'r1',
			service: 'orders',
			requestClass: 'normal',
			outcome: createUnknownOutcome(createRefusal(ErrorCode.AnswerLost)),
			duration: 5,
			role: 'entry',
		});
		const [end] = memory.explain('r1');
		expect(end?.name).to.equal('requestEnded');
		expect(end?.reason).to.contain('unknown: the request was handed over');
		expect(await metrics.render()).to.contain(
			'class="normal",outcome="unknown",error="AnswerLost"} 1',
		);
	});
});
