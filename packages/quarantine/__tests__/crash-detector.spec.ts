import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createCrashDetector, settleTimeout} from '../src/index.js';

/** Creates a detector whose runs are identified by names. */
function createTestDetector({isListening}: {isListening: boolean}) {
	const clock = createVirtualClock();
	const verdicts: Array<[string[], boolean]> = [];
	let probes = 0;
	const detector = createCrashDetector<string>({
		clock,
		probe(onResult) {
			probes++;
			onResult(isListening);
		},
		onVerdict(lost, hasCrashed) {
			verdicts.push([lost, hasCrashed]);
		},
	});
	const ordinals = new Map<string, number>();
	return {
		clock,
		detector,
		verdicts,
		probes: () => probes,
		start(...runs: string[]) {
			for (const run of runs) {
				ordinals.set(run, detector.started());
			}
		},
		end(run: string) {
			detector.ended(ordinals.get(run)!);
		},
		lose(...runs: string[]) {
			for (const run of runs) {
				detector.lost(run, ordinals.get(run)!);
			}
		},
	};
}

describe('a crash of a target', () => {
	it('is detected as soon as all of its requests are lost and it refuses connections', () => {
		const {start, lose, verdicts} = createTestDetector({isListening: false});
		start('a', 'b', 'c');
		lose('a', 'b');
		expect(verdicts).to.deep.equal([]);
		lose('c');
		expect(verdicts).to.deep.equal([[['a', 'b', 'c'], true]]);
	});

	it('is detected when a new request is refused, also for runs whose ends are noticed later', () => {
		const {start, end, lose, detector, verdicts} = createTestDetector({
			isListening: true,
		});
		start('a', 'b');
		lose('a');
		start('new');
		detector.refused();
		end('new');
		lose('b');
		expect(verdicts).to.deep.equal([
			[['a'], true],
			[['b'], true],
		]);
	});

	it('does not wait for requests that began after the first loss', () => {
		const {start, lose, verdicts} = createTestDetector({isListening: false});
		start('a', 'b');
		lose('a');
		start('new');
		lose('b');
		expect(verdicts).to.deep.equal([[['a', 'b'], true]]);
	});

	it('is detected when the last of the other requests ends with an answer that was in transit', () => {
		const {start, end, lose, verdicts} = createTestDetector({
			isListening: false,
		});
		start('a', 'b');
		lose('a');
		end('b');
		expect(verdicts).to.deep.equal([[['a'], true]]);
	});
});

describe('a crash whose last connection ends are noticed late', () => {
	it('is detected by a refused connection', () => {
		const {clock, start, lose, verdicts} = createTestDetector({
			isListening: false,
		});
		start('a', 'b', 'c', 'd');
		lose('a', 'b', 'c');
		clock.advanceTo(settleTimeout);
		lose('d');
		expect(verdicts).to.deep.equal([
			[['a', 'b', 'c'], true],
			[['d'], true],
		]);
	});
});

describe('a lost connection', () => {
	it('is not a crash while other requests of the target continue', () => {
		const {clock, start, lose, verdicts, probes} = createTestDetector({
			isListening: false,
		});
		start('a', 'b', 'c');
		lose('a');
		clock.advanceTo(settleTimeout);
		expect(verdicts).to.deep.equal([[['a'], false]]);
		expect(probes()).to.equal(0);
	});

	it('is not a crash of a target that accepts connections', () => {
		const {start, lose, verdicts} = createTestDetector({isListening: true});
		start('a');
		lose('a');
		expect(verdicts).to.deep.equal([[['a'], false]]);
	});

	it('is evaluated separately when it comes long after another', () => {
		const {clock, start, lose, verdicts} = createTestDetector({
			isListening: true,
		});
		start('a', 'b', 'c', 'd', 'e');
		lose('a');
		clock.advanceTo(1000);
		lose('b');
		clock.advanceTo(2000);
		expect(verdicts).to.deep.equal([
			[['a'], false],
			[['b'], false],
		]);
	});
});
