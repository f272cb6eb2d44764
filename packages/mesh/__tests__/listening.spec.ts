import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {listenPersistently, type ListenFailure} from '../src/listening.js';

const address = '10.0.0.1:7620';
const taken = Object.assign(new Error('listen EADDRINUSE'), {
	code: 'EADDRINUSE',
});

describe('a listener whose address is taken', () => {
	const start = (listen: () => Promise<string>) => {
		const clock = createVirtualClock();
		const stop = new AbortController();
		const failures: ListenFailure[] = [];
		const result = listenPersistently({
			listener: 'peers',
			address,
			listen,
			clock,
			signal: stop.signal,
			onFailure(failure) {
				failures.push(failure);
			},
		});
		return {clock, stop, failures, result};
	};

	// Guards against a process that neither serves nor ends after a failed bind.
	it('opens within half a second after the address is free', async () => {
		let isTaken = true;
		const {clock, failures, result} = start(async () => {
			if (isTaken) {
				throw taken;
			}

			return address;
		});
		await clock.runTo(6000);
		isTaken = false;
		await clock.runTo(6500);
		expect(await result).to.equal(address);
		expect(failures).to.deep.equal([
			{listener: 'peers', address, detail: 'listen EADDRINUSE'},
		]);
	});

	it('is reported again while it stays closed, once in ten seconds', async () => {
		const {clock, failures, stop, result} = start(async () => {
			throw taken;
		});
		await clock.runTo(31_000);
		expect(failures).to.have.length(4);
		stop.abort();
		await clock.runTo(32_000);
		expect(await result).to.equal(undefined);
	});

	it('rejects at once with an error that no later attempt can mend', async () => {
		const {failures, result} = start(async () => {
			throw Object.assign(new Error('listen EACCES'), {code: 'EACCES'});
		});
		const [settled] = await Promise.allSettled([result]);
		expect(settled.status).to.equal('rejected');
		expect(failures).to.have.length(0);
	});
});
