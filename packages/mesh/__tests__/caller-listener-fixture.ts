/** A listener for callers with a recording entry, and a caller on a raw connection. */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	createConnectionBudget,
	createVirtualClock,
	type VirtualClock,
} from '@egretspoke/shared';
import {
	connectionMemoryShare,
	createMemoryBudget,
	type MemoryBudget,
} from '../src/decisions/memory/memory-budget.js';
import {
	createCallerListener,
	type CallerListener,
} from '../src/entry/caller-listener.js';
import type {CallerRequest, FinalAnswer} from '../src/entry/caller-request.js';

/** A request at the entry, and its answer. */
export type Received = {
	request: CallerRequest;
	answer: (final: FinalAnswer) => void;
	hasLeft: boolean;
};

/** The listener, what it handed over and reported, and its caller. */
export type CallerListenerFixture = {
	listener: CallerListener;
	clock: VirtualClock;
	budget: MemoryBudget;
	/** Address of the listener, `ip:port`. */
	address: string;
	caller: Socket;
	/** The bytes that the caller received, in Latin-1. */
	text: string;
	received: Received[];
	notices: Array<Record<string, unknown>>;
	/** Requests that ended with a connection, as counted by the metric. */
	cut: Array<{cause: string; requests: number}>;
	hasWorkspaces: boolean;
	isStopping: boolean;
	/** Sends a request; resolves when it has reached the entry. */
	send(line: string, lines?: string[], body?: string): Promise<Received>;
	close(): void;
};

/** Connections that the listener holds open. */
export const maxConnections = 50;

export const succeed = (body: Uint8Array): FinalAnswer => ({
	kind: 'target',
	status: 200,
	headers: ['X-Name', 'gr\u00FC\u00DF'],
	body,
});

/** Lets the event loop turn until the condition holds; the test's own timeout is the only limit. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		// eslint-disable-next-line no-await-in-loop -- one turn after the other.
		await nextTurn();
	}
}

/** Starts a listener, to which a caller is connected; requests for `/refused` are refused at once. */
export async function startCallerListener(): Promise<CallerListenerFixture> {
	const clock = createVirtualClock();
	const budget = createMemoryBudget(350_000_000);
	const listener = createCallerListener({
		entry: {
			handle(request, answer) {
				const entry: Received = {request, answer, hasLeft: false};
				fixture.received.push(entry);
				if (request.path === '/refused') {
					answer({
						kind: 'own',
						status: 503,
						reason: 'noRoom',
						retryAfter: 1500,
					});
				}

				return () => {
					entry.hasLeft = true;
				};
			},
			open: () => 0,
		},
		clock,
		headerNames: {
			requestId: 'request-id',
			timeLeft: 'time-left',
			expectedTarget: 'expected-target',
			callerService: 'from-service',
			workspaceKey: 'workspace-key',
			workspace: 'workspace',
			signature: 'signed',
			notExecuted: 'not-run',
			rateLimit: 'rate',
			leaving: 'is-leaving',
		},
		reporter: {
			notice(name, details) {
				fixture.notices.push({name, ...details});
			},
			decision: () => undefined,
		},
		budget,
		connectionBudget: createConnectionBudget({
			clock,
			limits: {
				bytes: 350_000_000 * connectionMemoryShare,
				connections: maxConnections,
			},
			onCheck() {
				listener.refuseStalled();
			},
		}),
		metrics: {
			requestEnded: () => undefined,
			requestsCut(cause, requests) {
				fixture.cut.push({cause, requests});
			},
		},
		callerService: () => 'orders',
		hasWorkspaces: () => fixture.hasWorkspaces,
		isStopping: () => fixture.isStopping,
	});
	listener.applyLimits({
		headerBytes: 1000,
		bodyBytes: 100_000,
		headerTime: 3000,
		idleTime: 15_000,
	});
	const address = await listener.listen('127.0.0.1:0');
	const caller = connect(Number(address.split(':')[1]), '127.0.0.1');
	const fixture: CallerListenerFixture = {
		listener,
		clock,
		budget,
		address,
		caller,
		text: '',
		received: [],
		notices: [],
		cut: [],
		hasWorkspaces: true,
		isStopping: false,
		async send(line, lines = [], body = '') {
			const count = fixture.received.length;
			caller.write(
				[`${line} HTTP/1.1`, 'Host: shop.example', ...lines, '', body].join(
					'\r\n',
				),
				'latin1',
			);
			await waitUntil(() => fixture.received.length > count);
			return fixture.received.at(-1)!;
		},
		close() {
			caller.destroy();
			listener.close();
		},
	};
	caller.on('data', (chunk) => {
		fixture.text += chunk.toString('latin1');
	});
	await once(caller, 'connect');
	return fixture;
}
