import {expect} from 'chai';
import {createRequestTraceReader} from '../src/index.js';

const line = (changed: Record<string, unknown>) =>
	JSON.stringify({
		at: '2026-01-01T00:00:10.000Z',
		level: 'info',
		event: 1601,
		name: 'meshOwnAnswer',
		node: 'orders-1',
		request: 'abc',
		message: 'answered 503 by this node: noTarget',
		...changed,
	});

const readTrace = (lines: string[]) => {
	const reader = createRequestTraceReader('abc');
	for (const each of lines) {
		reader.addLine(each);
	}

	return reader.finish();
};

describe('the trace of a request', () => {
	it('sorts the lines of all nodes by time, calls included', () => {
		const trace = readTrace([
			line({at: '2026-01-01T00:00:11.000Z', node: 'orders-2'}),
			line({request: 'abcdef'}),
			line({request: 'abc.d', node: 'history-1'}),
			`orders-3 10.02 ${line({at: '2026-01-01T00:00:09.500Z', node: 'orders-3'})}`,
		]);
		expect(trace.decisions.map(({node}) => node)).to.deep.equal([
			'orders-3',
			'history-1',
			'orders-2',
		]);
	});

	it('adds the notices that the deciding nodes logged shortly before', () => {
		const notice = {event: 2103, name: 'peerLost', request: undefined};
		const trace = readTrace([
			line({}),
			line({...notice, at: '2026-01-01T00:00:08.000Z', message: 'lost a'}),
			line({...notice, at: '2026-01-01T00:00:02.000Z', message: 'long ago'}),
			line({...notice, node: 'media-1', message: 'elsewhere'}),
		]);
		expect(trace.beliefs.map(({message}) => message)).to.deep.equal(['lost a']);
	});

	it('adds the decisions about the same request under other ids', () => {
		const under = (identity: string, request: string, at: string) =>
			line({event: 1607, request, at, details: {identity}});
		const trace = readTrace([
			under('same', 'abc', '2026-01-01T00:00:11.000Z'),
			under('same', 'second', '2026-01-01T00:00:10.500Z'),
			under('same', 'first', '2026-01-01T00:00:09.000Z'),
			under('another', 'third', '2026-01-01T00:00:09.000Z'),
		]);
		expect(trace.repeats.map(({request}) => request)).to.deep.equal([
			'first',
			'second',
		]);
	});

	// Guards against a 404 by an old configuration that can't be told from one of an unknown route.
	it('adds the configuration in force at each deciding node, and the next one', () => {
		const taken = (seconds: string, version: number, node = 'orders-1') =>
			line({
				at: `2026-01-01T00:00:${seconds}.000Z`,
				event: 2201,
				name: 'configurationTaken',
				request: undefined,
				node,
				message: `configuration version ${version} in force`,
			});
		const trace = readTrace([
			taken('01', 1),
			taken('02', 2),
			line({}),
			taken('21', 3),
			taken('22', 4),
			taken('09', 4, 'media-1'),
		]);
		expect(trace.configurations.map(({message}) => message)).to.deep.equal([
			'configuration version 2 in force',
			'configuration version 3 in force',
		]);
	});

	it('counts the lines that were dropped or cannot be read', () => {
		const trace = readTrace([
			line({}),
			'not a line of ours',
			'{"at":1}',
			'',
			line({
				event: 2901,
				name: 'linesDropped',
				request: undefined,
				details: {count: 7},
			}),
		]);
		expect(trace.linesDropped).to.equal(7);
		expect(trace.unreadable).to.equal(2);
	});
});
