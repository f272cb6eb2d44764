/** The quarantine of a node without peers, for specs of its parts. */
import {createRandom, type Clock} from '@egretspoke/shared';
import {
	createNodeQuarantine,
	type NodeQuarantine,
} from '../src/node-quarantine.js';
import {silentReporter} from '../src/node-reporter.js';

/** Creates a quarantine that sends and persists nothing. */
export function createLocalQuarantine(clock: Clock): NodeQuarantine {
	return createNodeQuarantine({
		clock,
		random: createRandom(1),
		reporter: silentReporter,
		self: 'vm-1',
		members: () => [],
		sendSuspects: () => undefined,
		persistSuspects: () => undefined,
		signal: AbortSignal.abort(),
	});
}
