/** The planned stop of a node: ends the acceptance of work, then the links and the connections once nothing on them is open. */
import type {Clock} from '@egretspoke/shared';
import type {CallerListener} from './entry/caller-listener.js';
import type {Entry} from './entry/entry.js';
import type {PeerListener} from './links/peer-listener.js';
import type {MeshReporter} from './mesh-reporter.js';
import type {TargetDispatcher} from './target/target-dispatcher.js';
import {
	planStop,
	waitUntilIdle,
	type StopSchedule,
} from './timing/graceful-shutdown.js';

/** The parts of a node that hold accepted work. */
export type StoppingParts = {
	entry: Pick<Entry, 'open'>;
	dispatcher: Pick<TargetDispatcher, 'openRequests' | 'stop'>;
	callerListener: Pick<CallerListener, 'pending' | 'receiving' | 'ending'>;
	peerListener: Pick<PeerListener, 'pending' | 'end'>;
};

/** Dependencies of the stop. */
export type PlannedStopOptions = {
	clock: Clock;
	reporter: MeshReporter;
	/** Milliseconds from the signal until the process is killed. */
	grace: () => number;
	parts: () => StoppingParts;
	/** Tells the other nodes that this one is stopping. */
	announce: () => void;
};

/** The planned stop of a node. */
export type PlannedStop = {
	/** Undefined until the stop begins. */
	schedule(): StopSchedule | undefined;
	/** Resolves when the process may end; a second call joins the stop. */
	run(): Promise<void>;
};

/** Milliseconds until a peer has usually read the last messages; one that takes longer is taken for dead, unless it was sent large outcomes. */
const linkEndTimeout = 1000;
/** Milliseconds within which callers close the connections whose last answers they have read. */
const callerEndTimeout = 250;

/** Creates a stop that has not begun. */
export function createPlannedStop(options: PlannedStopOptions): PlannedStop {
	const {clock, reporter} = options;
	let schedule: StopSchedule | undefined;
	let stopped: Promise<void> | undefined;

	/** Counts the work in flight, and the answers and outcomes that are not sent. */
	const countOpen = (): number => {
		const {entry, dispatcher, callerListener, peerListener} = options.parts();
		return (
			Math.max(entry.open(), callerListener.pending()) +
			Math.max(dispatcher.openRequests(), peerListener.pending())
		);
	};

	const completeWork = async (planned: StopSchedule) => {
		const {dispatcher, callerListener} = options.parts();
		clock.setTimer(planned.acceptUntil - clock.now(), () => {
			dispatcher.stop();
		});
		await waitUntilIdle(clock, planned, () => {
			const isReceiving =
				clock.now() < planned.receiveUntil && callerListener.receiving() > 0;
			return countOpen() === 0 && !isReceiving;
		});
		reporter.notice('drained', {cut: countOpen()});
	};

	const endLinks = async ({linksEndBy}: StopSchedule) => {
		const unended = await options
			.parts()
			.peerListener.end(linkEndTimeout, linksEndBy - clock.now());
		if (unended.links > 0) {
			reporter.notice('meshLinksCut', unended);
		}
	};

	const endConnections = async ({linksEndBy}: StopSchedule) => {
		const {callerListener} = options.parts();
		const now = clock.now();
		await waitUntilIdle(
			clock,
			{
				acceptUntil: now,
				endAt: Math.min(now + callerEndTimeout, linksEndBy),
			},
			() => callerListener.pending() + callerListener.ending() === 0,
		);
	};

	const perform = async () => {
		const planned = planStop(clock.now(), options.grace());
		schedule = planned;
		reporter.notice('leaving', {reason: 'planned stop'});
		options.announce();
		await completeWork(planned);
		await endLinks(planned);
		await endConnections(planned);
	};

	return {
		schedule: () => schedule,
		async run() {
			stopped ??= perform();
			await stopped;
		},
	};
}
