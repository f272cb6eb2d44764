/** A store with one row that changes, whose clients have connections that can go silent. */
import type {VirtualClock} from '@egretspoke/shared';
import {err, ok, type Result} from 'neverthrow';
import type {
	RowAddress,
	RowStore,
	StoreFailure,
	StoreSnapshot,
} from '../src/configuration/row-store.js';

/** Runs a callback at the node of a client, after its suspension if it is suspended. */
type RunAtNode = (callback: () => void) => void;

type Call = {isStalled: boolean; answer: () => void};

/** The store as one node reaches it. */
export type StoreClient = RowStore & {
	/** All calls in progress stall, and as many later calls of the feed as there are idle connections; reads use new ones. */
	silence(idleConnections: number): void;
};

const latency = 10;
/** Milliseconds after its wait at which a call without an answer fails. */
const callTimeout = 1500;

/** Creates a store whose row has version 1 and its version as its value. */
export function createStallingStore(clock: VirtualClock, row: RowAddress) {
	const history = [{version: 1, at: 0}];
	const calls = new Set<Call>();

	const newest = () => history.at(-1)!.version;

	const createClient = (runAtNode: RunAtNode): StoreClient => {
		const ownCalls = new Set<Call>();
		let silentConnections = 0;

		/** Resolves with the row once it is newer than a version, or when the wait is over. */
		const start = async (after: number, wait: number, isStalled: boolean) =>
			new Promise<Result<StoreSnapshot, StoreFailure>>((resolve) => {
				const startedAt = clock.now();
				const end = (result: Result<StoreSnapshot, StoreFailure>) => {
					calls.delete(call);
					ownCalls.delete(call);
					runAtNode(() => {
						resolve(result);
					});
				};

				const call: Call = {
					isStalled,
					answer() {
						const version = newest();
						const isDue = version > after || clock.now() >= startedAt + wait;
						if (!call.isStalled && isDue && calls.delete(call)) {
							const newRow = {
								...row,
								value: String(version),
								version,
								isRemoved: false,
							};
							const rows = version > after ? [newRow] : [];
							clock.setTimer(latency, () => {
								end(ok({rows, version}));
							});
						}
					},
				};
				calls.add(call);
				ownCalls.add(call);
				clock.setTimer(wait, call.answer);
				clock.setTimer(wait + callTimeout, () => {
					if (calls.has(call)) {
						end(err({kind: 'unavailable', detail: 'no answer'}));
					}
				});
				call.answer();
			});

		return {
			read: async () => start(0, 0, false),
			async changes(_table, after, wait) {
				const isStalled = silentConnections > 0;
				silentConnections -= isStalled ? 1 : 0;
				return start(after, wait, isStalled);
			},
			write: async () => err({kind: 'unavailable', detail: 'read only'}),
			close: () => undefined,
			silence(idleConnections) {
				silentConnections = idleConnections;
				for (const call of ownCalls) {
					call.isStalled = true;
				}
			},
		};
	};

	return {
		createClient,
		/** Confirms a new version. */
		change() {
			history.push({version: newest() + 1, at: clock.now()});
			for (const {answer} of calls) {
				answer();
			}
		},
		/** The newest version that was confirmed by then. */
		versionAt: (instant: number) =>
			history.findLast(({at}) => at <= instant)?.version ?? 0,
	};
}
