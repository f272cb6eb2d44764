import {createRandom, createVirtualClock, sleep} from '@egretspoke/shared';
import {expect} from 'chai';
import {createRowWriter} from '../src/index.js';

const writeDuration = 10;

/** Creates a writer to a store whose first `failures` writes fail. */
function createWriter(failures: number) {
	const clock = createVirtualClock();
	const lifetime = new AbortController();
	const states: number[] = [];
	let state = 0;
	let concurrent = 0;
	let tries = 0;
	const writer = createRowWriter({
		clock,
		random: createRandom(1),
		async write() {
			const written = state;
			expect(++concurrent).to.equal(1);
			await sleep(clock, writeDuration);
			concurrent--;
			if (tries++ < failures) {
				return false;
			}

			states.push(written);
			return true;
		},
	});
	return {
		clock,
		lifetime,
		states,
		writer,
		tries: () => tries,
		change() {
			state++;
			writer.request();
		},
	};
}

describe('a row writer', () => {
	it('writes nothing before its start, and then the changes made before it', async () => {
		const {clock, lifetime, states, writer, change} = createWriter(0);
		change();
		await clock.runTo(1000);
		expect(states).to.deep.equal([]);
		writer.start(lifetime.signal);
		await clock.runTo(2000);
		expect(states).to.deep.equal([1]);
	});

	it('coalesces changes made during a write into one write after it', async () => {
		const {clock, lifetime, states, writer, change} = createWriter(0);
		writer.start(lifetime.signal);
		change();
		await clock.runTo(5);
		change();
		change();
		await clock.runTo(1000);
		expect(states).to.deep.equal([1, 3]);
	});

	it('retries until a write succeeds, and stops when the signal aborts', async () => {
		const {clock, lifetime, states, writer, change, tries} = createWriter(3);
		writer.start(lifetime.signal);
		change();
		await clock.runTo(10_000);
		expect(states).to.deep.equal([1]);
		expect(tries()).to.equal(4);
		lifetime.abort();
		change();
		await clock.runTo(20_000);
		expect(tries()).to.equal(4);
	});

	// Guards against suspects that are never stored again after one write has thrown.
	it('reports a write that throws and tries again', async () => {
		const clock = createVirtualClock();
		const lifetime = new AbortController();
		const errors: string[] = [];
		let tries = 0;
		const writer = createRowWriter({
			clock,
			random: createRandom(1),
			async write() {
				if (++tries <= 2) {
					throw new Error('broken');
				}

				return true;
			},
			onError(error, retryIn) {
				errors.push(`${String(error)}, ${retryIn}`);
			},
		});
		writer.start(lifetime.signal);
		writer.request();
		await clock.runTo(9999);
		expect(tries).to.equal(2);
		await clock.runTo(10_000);
		expect(tries).to.equal(3);
		writer.request();
		await clock.runTo(10_001);
		expect(tries).to.equal(4);
		expect(errors).to.deep.equal([
			'Error: broken, 5000',
			'Error: broken, 5000',
		]);
	});
});
