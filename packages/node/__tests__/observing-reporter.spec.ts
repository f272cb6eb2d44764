import {
	createDecisionHistory,
	createEventLog,
	createMetrics,
	type NodeReadings,
} from '@egretspoke/observability';
import {admitUnknown, createRefusal, ErrorCode} from '@egretspoke/protocol';
import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createObservingReporter} from '../src/index.js';

const readings: NodeReadings = {
	configurationVersion: 1,
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
	it('logs, remembers and counts a decision', async () => {
		const {log, memory, metrics, reporter, written} = createObserved();
		reporter.decide({
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

	it('logs and counts notices', async () => {
		const {log, metrics, reporter, written} = createObserved();
		reporter.notice({name: 'malformedRequest', fault: 'tooLarge'});
		reporter.notice({name: 'peerRefused', detail: 'wrong signature'});
		reporter.notice({name: 'operatorRefused', detail: 'unauthorized'});
		reporter.notice({name: 'memberChanged', node: 'b', state: 'gone'});
		log.flush();
		expect(written.join('')).to.contain('member b is gone');
		const text = await metrics.render();
		expect(text).to.contain('listener="caller",kind="tooLarge"} 1');
		expect(text).to.contain('listener="admin",kind="unauthorized"} 1');
		expect(text).to.contain('listener="peer",kind="handshake"} 1');
	});

	it('counts an outcome that is not known under its error, and remembers the end', async () => {
		const {memory, metrics, reporter} = createObserved();
		reporter.ended({
			request: 'r1',
			service: 'orders',
			requestClass: 'normal',
			outcome: admitUnknown(createRefusal(ErrorCode.AnswerLost)),
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
