/** The listeners of a node, each of which is opened as soon as its address is free. */
import type {Clock} from '@egretspoke/shared';
import {listenPersistently, type ListenFailure} from './listening.js';

/** A listener that is not open yet. */
type Listener = {
	/** Listens on `ip:port`; resolves with the bound address. */
	listen: (address: string) => Promise<string>;
};

/** Options of `createNodeListeners`. */
export type NodeListenersOptions<Name extends string> = {
	clock: Clock;
	listeners: Record<Name, Listener>;
	/** Called while a listener can't be opened; see `listenPersistently`. */
	onFailure: (failure: ListenFailure) => void;
};

/** The listeners of a node. */
export type NodeListeners<Name extends string> = {
	/**
	 * Opens a listener; resolves with the bound address. Rejects if the address
	 * can't be used, or if the attempts are given up.
	 */
	open(name: Name, address: string): Promise<string>;
	/** The listeners that are not open yet. */
	closed(): Name[];
	/** Whether something may have been accepted. */
	hasOpened(): boolean;
	/** Ends the attempts to open listeners: a listener of a stopping node would take its port from the successor. */
	giveUp(): void;
};

/** Creates listeners of which none is open. */
export function createNodeListeners<Name extends string>({
	clock,
	listeners,
	onFailure,
}: NodeListenersOptions<Name>): NodeListeners<Name> {
	const names = Object.keys(listeners) as Name[];
	const closed = new Set(names);
	const attempts = new AbortController();
	return {
		async open(name, address) {
			const bound = await listenPersistently({
				listener: name,
				address,
				listen: listeners[name].listen,
				clock,
				signal: attempts.signal,
				onFailure,
			});
			if (bound === undefined) {
				throw new Error('the node was stopped while it started');
			}

			closed.delete(name);
			return bound;
		},
		closed: () => [...closed],
		hasOpened: () => closed.size < names.length,
		giveUp() {
			attempts.abort();
		},
	};
}
