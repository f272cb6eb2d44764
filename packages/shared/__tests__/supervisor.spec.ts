import {expect} from 'chai';
import {sleep} from '../src/clock.js';
import {createSupervisor, type ChildFailure} from '../src/supervisor.js';
import {createVirtualClock} from '../src/virtual-clock.js';

describe('supervisor', () => {
	const create = () => {
		const clock = createVirtualClock();
		const failures: ChildFailure[] = [];
		const supervisor = createSupervisor(clock, (failure) =>
			failures.push(failure),
		);
		return {clock, failures, supervisor};
	};

	it('restarts only a failed child, with increasing delays', async () => {
		// The task of one peer throws on every start. Without the supervisor its
		// error would end the process and every request in flight.
		const {clock, failures, supervisor} = create();
		let siblingTicks = 0;
		supervisor.start('faulty', async () => {
			throw new Error('broken');
		});
		supervisor.start('sibling', async (signal) => {
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop -- a task that ticks.
				await sleep(clock, 100, signal);
				siblingTicks++;
			}
		});
		await clock.runTo(1000);
		expect(failures.map(({restartIn}) => restartIn)).to.deep.equal([
			100, 200, 400, 800,
		]);
		expect(failures[0]?.path).to.equal('root/faulty');
		expect(siblingTicks).to.equal(10);
	});

	it('limits the delay before a restart to five seconds', async () => {
		const {clock, failures, supervisor} = create();
		supervisor.start('faulty', async () => {
			throw new Error('broken');
		});
		await clock.runTo(60_000);
		expect(Math.max(...failures.map(({restartIn}) => restartIn))).to.equal(
			5000,
		);
	});

	// Guards against a loop that ends without a trace while its node goes on without it.
	it('restarts a loop that ends before the stop', async () => {
		const {clock, failures, supervisor} = create();
		let runs = 0;
		supervisor.startLoop('loop', async () => {
			runs++;
		});
		await clock.runTo(1000);
		expect(runs).to.equal(4);
		expect(failures.map(({error}) => String(error))).to.deep.equal(
			Array.from({length: 4}, () => 'Error: the loop ended by itself'),
		);
		await supervisor.stop();
		await clock.runTo(20_000);
		expect(runs).to.equal(4);
	});

	it('lists children that fail until one has run healthily', async () => {
		const {clock, supervisor} = create();
		let isBroken = true;
		supervisor.branch('below').startLoop('loop', async (signal) => {
			if (isBroken) {
				throw new Error('broken');
			}

			await sleep(clock, 1e9, signal);
		});
		expect(supervisor.failing()).to.deep.equal([]);
		await clock.runTo(1000);
		isBroken = false;
		expect(supervisor.failing()).to.deep.equal([
			{path: 'root/below/loop', failures: 4, detail: 'broken'},
		]);
		await clock.runTo(20_000);
		expect(supervisor.failing()).to.deep.equal([]);
	});

	it('stops children of every branch and waits for them', async () => {
		const {clock, supervisor} = create();
		const ended: string[] = [];
		const task = (name: string) => async (signal: AbortSignal) => {
			await sleep(clock, 1e9, signal);
			ended.push(name);
		};

		supervisor.start('one', task('one'));
		supervisor.branch('below').start('two', task('two'));
		await clock.runTo(1);
		await supervisor.stop();
		expect(ended.toSorted()).to.deep.equal(['one', 'two']);
	});
});
