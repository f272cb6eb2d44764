import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createEventLog, type EventLogOptions} from '../src/index.js';

const startLog = (options: Partial<EventLogOptions> = {}) => {
	const clock = createVirtualClock();
	const written: string[] = [];
	const output = {isReady: true};
	const log = createEventLog({
		node: 'orders-1',
		level: 'info',
		format: 'text',
		sample: 1,
		clock,
		sink: {
			isReady: () => output.isReady,
			write: (batch) => written.push(batch),
		},
		...options,
	});
	const lines = () => written.join('').split('\n').slice(0, -1);
	return {clock, written, output, log, lines};
};

describe('event log', () => {
	it('writes text lines with number, name, request and reason', () => {
		const {log, lines} = startLog();
		log.record('routed', {
			request: 'r1',
			reason: 'fewest in flight',
			details: {node: 'orders-2', inFlight: 3},
		});
		log.flush();
		expect(lines()).to.deep.equal([
			'2026-01-01T00:00:00.000Z INFO 1101 routed node=orders-1 request=r1 routed to orders-2: fewest in flight inFlight=3',
		]);
	});

	it('writes JSON lines', () => {
		const {log, lines} = startLog({format: 'json'});
		log.record('drained', {details: {cut: 0}});
		log.flush();
		expect(JSON.parse(lines()[0]!)).to.deep.equal({
			at: '2026-01-01T00:00:00.000Z',
			level: 'info',
			event: 2004,
			name: 'drained',
			node: 'orders-1',
			message: 'drained; 0 requests cut',
			details: {cut: 0},
		});
	});

	it('omits events below the level', () => {
		const {log, lines} = startLog({level: 'warn'});
		expect(log.isEnabled('routed', 'r1')).to.equal(false);
		log.record('routed', {request: 'r1', reason: 'x'});
		log.record('peerLost', {details: {peer: 'orders-2'}});
		log.flush();
		expect(lines()).to.have.length(1);
		expect(lines()[0]).to.contain('WARN 2103 peerLost');
	});

	it('formats no line on the request path: a timer writes the lines in batches', () => {
		const {clock, written, log} = startLog({batch: 2, delay: 10});
		for (const request of ['a', 'b', 'c']) {
			log.record('admitted', {request, reason: 'free slot'});
		}

		expect(written).to.have.length(0);
		clock.advanceTo(10);
		expect(written).to.have.length(1);
		clock.advanceTo(20);
		expect(written.map((batch) => batch.split('\n').length - 1)).to.deep.equal([
			2, 1,
		]);
		expect(clock.pending()).to.equal(0);
	});

	it('samples decisions by request, identically on every node, but not notices', () => {
		const nodes = ['a', 'b'].map((node) =>
			startLog({sample: 0.25, node, capacity: 10_000}),
		);
		const logged = nodes.map(({log, lines}) => {
			for (let index = 0; index < 4000; index++) {
				log.record('routed', {request: `request-${index}`, reason: 'x'});
			}

			log.record('peerLost', {details: {peer: 'c'}});
			log.flush();
			return lines().map((line) => / request=(?<id>\S+)/u.exec(line)?.[1]);
		});
		expect(logged[0]).to.deep.equal(logged[1]);
		expect(logged[0]!.length - 1).to.be.within(900, 1100);
		expect(logged[0]!.at(-1)).to.equal(undefined);
	});

	it('drops and counts lines when the output is blocked, and reserves capacity for notices', () => {
		// The consumer of the log has stopped reading. Without a bound the lines
		// would fill the memory until the process dies; with it, lines are
		// dropped, and their number is logged once the consumer reads again.
		const {clock, output, log, lines} = startLog({capacity: 100});
		output.isReady = false;
		for (let index = 0; index < 150; index++) {
			log.record('admitted', {request: `r${index}`, reason: 'x'});
		}

		log.record('peerLost', {details: {peer: 'orders-2'}});
		expect(log.dropped()).to.equal(60);
		clock.advanceTo(1000);
		expect(lines()).to.have.length(0);
		output.isReady = true;
		clock.advanceTo(2000);
		expect(lines()).to.have.length(92);
		expect(lines().at(-2)).to.contain('2103 peerLost');
		expect(lines().at(-1)).to.contain('2901 linesDropped');
		expect(lines().at(-1)).to.contain('60 log lines dropped');
	});

	it('escapes line breaks in request ids', () => {
		// A caller puts a line break and a forged line into its request id; the
		// log would then show an event that never happened.
		const {log, lines} = startLog();
		log.record('routed', {
			request: 'r1\n2026 ERROR 2006 childFailed',
			reason: 'x',
			details: {node: 'b'},
		});
		log.flush();
		expect(lines()).to.have.length(1);
	});

	it('is independent of another log of the same process', () => {
		const quiet = startLog({level: 'error'});
		const loud = startLog({level: 'info'});
		quiet.log.record('drained', {details: {cut: 0}});
		loud.log.record('drained', {details: {cut: 0}});
		quiet.log.flush();
		loud.log.flush();
		expect([quiet.lines().length, loud.lines().length]).to.deep.equal([0, 1]);
	});
});
