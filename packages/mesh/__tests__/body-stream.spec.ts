import {expect} from 'chai';
import {
	createBodyStream,
	streamWindow,
	type OpenBodyStream,
} from '../src/bodies/body-stream.js';
import {
	createMemoryBudget,
	type MemoryBudget,
} from '../src/decisions/memory/memory-budget.js';

describe('the stream of a response body', () => {
	let budget: MemoryBudget;
	let stream: OpenBodyStream;
	let events: string[];

	const part = new Uint8Array(streamWindow);
	const reader = {
		onPart({byteLength}: Uint8Array) {
			events.push(`part ${byteLength}`);
		},
		onEnd() {
			events.push('end');
		},
		onCut() {
			events.push('cut');
		},
	};

	beforeEach(() => {
		// The share of streams is four windows.
		budget = createMemoryBudget(100 * streamWindow);
		events = [];
		stream = createBodyStream(undefined, budget, {
			setPaused(isPaused) {
				events.push(isPaused ? 'paused' : 'resumed');
			},
			cancel() {
				events.push('cancelled');
			},
		});
	});

	it('delivers what arrived before there was a reader, and its end', () => {
		stream.push(new Uint8Array(3));
		stream.end();
		stream.read(reader);
		expect(events).to.deep.equal(['part 3', 'end']);
		stream.release(3);
		expect(budget.held.streams).to.equal(0);
	});

	it('delivers a cut after what arrived, and holds nothing then', () => {
		stream.push(new Uint8Array(3));
		stream.cut();
		stream.read(reader);
		expect(events).to.deep.equal(['part 3', 'cut']);
		expect(budget.held.streams).to.equal(0);
	});

	// Twenty responses of 20 MB to callers that read slowly took a process over its memory.
	it('pauses its source while its reader is slower and the memory is used up', () => {
		stream.read(reader);
		for (let index = 0; index < 4; index++) {
			stream.push(part);
		}

		expect(events.at(-1)).to.equal('paused');
		stream.release(part.byteLength);
		expect(events.at(-1)).to.equal('resumed');
	});

	it('resumes its source when another stream has released memory', () => {
		budget.add('streams', 4 * streamWindow);
		stream.push(part);
		expect(events).to.deep.equal(['paused']);
		budget.remove('streams', 4 * streamWindow);
		expect(events).to.deep.equal(['paused', 'resumed']);
	});

	it('lets each body go on by a window while the memory is used up', () => {
		budget.add('streams', 4 * streamWindow);
		stream.push(new Uint8Array(streamWindow - 1));
		expect(events).to.deep.equal([]);
	});

	it('ends its source when it is cancelled, and takes nothing more', () => {
		stream.push(part);
		stream.cancel();
		stream.push(part);
		stream.end();
		stream.read(reader);
		expect(events).to.deep.equal(['cancelled']);
		expect(budget.held.streams).to.equal(0);
	});
});
