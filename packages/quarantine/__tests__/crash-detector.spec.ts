import {createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createCrashDetector, settleTimeout} from '../src/index.js';

/** A detector over runs that are named by texts. */
function createWatch({isListening}: {isListening: boolean}) {
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

describe('the crash of a target', () => {
	it('is found as soon as all of its requests are lost and it takes no connection', () => {
		const {start, lose, verdicts} = createWatch({isListening: false});
		start('a', 'b', 'c');
		lose('a', 'b');
		expect(verdicts).to.deep.equal([]);
		lose('c');
		expect(verdicts).to.deep.equal([[['a', 'b', 'c'], true]]);
	});

	it('is found when a new request is refused, also for those whose ends are noticed later', () => {
		const {start, end, lose, detector, verdicts} = createWatch({
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
		const {start, lose, verdicts} = createWatch({isListening: false});
		start('a', 'b');
		lose('a');
		start('new');
		lose('b');
		expect(verdicts).to.deep.equal([[['a', 'b'], true]]);
	});

	it('is found when the last of the others ends by an answer that was under way', () => {
		const {start, end, lose, verdicts} = createWatch({isListening: false});
		start('a', 'b');
		lose('a');
		end('b');
		expect(verdicts).to.deep.equal([[['a'], true]]);
	});
});

describe('a crash whose last ends are noticed late', () => {
	it('is found by a connection that is refused', () => {
		const {clock, start, lose, verdicts} = createWatch({isListening: false});
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
	it('is no crash while other requests of the target go on', () => {
		const {clock, start, lose, verdicts, probes} = createWatch({
			isListening: false,
		});
		start('a', 'b', 'c');
		lose('a');
		clock.advanceTo(settleTimeout);
		expect(verdicts).to.deep.equal([[['a'], false]]);
		expect(probes()).to.equal(0);
	});

	it('is no crash of a target that takes connections', () => {
		const {start, lose, verdicts} = createWatch({isListening: true});
		start('a');
		lose('a');
		expect(verdicts).to.deep.equal([[['a'], false]]);
	});

	it('is judged by itself when it comes long after another', () => {
		const {clock, start, lose, verdicts} = createWatch({isListening: true});
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
