/** One connection to a peer: the task that reads it, and the calls made over it. */
import {
	createRefusal,
	ErrorCode,
	type AcknowledgementMessage,
	type AnswerMessage,
	type CallMessage,
	type CallRequest,
	type ConfigurationBodyMessage,
	type Message,
	type ProbeMessage,
	type SuspectsMessage,
	createUnknownOutcome,
} from '@egretspoke/protocol';
import {
	createExchangeTable,
	writeAnswer,
	type ExchangeResult,
} from './exchange-table.js';
import type {MessageChannel, PeerIdentity} from './message-channel.js';
import {describeError, type NodeReporter} from './node-reporter.js';

/** The services that a node provides to its peers. */
export type PeerServices = {
	reporter: NodeReporter;
	call(message: CallMessage, signal: AbortSignal): Promise<ExchangeResult>;
	probe(message: ProbeMessage): AcknowledgementMessage;
	configurationBody(): ConfigurationBodyMessage | undefined;
	/** Receives suspects: requests that crash targets. */
	receiveSuspects(message: SuspectsMessage): void;
	/** The suspects to send when a connection opens; undefined when there are none. */
	initialMessage(): SuspectsMessage | undefined;
};

/** A peer over an open channel. */
export type PeerConnection = {
	peer: PeerIdentity;
	call(
		request: CallRequest,
		options: {role: CallMessage['role']; home?: string},
		signal: AbortSignal,
	): Promise<ExchangeResult>;
	/** Undefined when no acknowledgement arrived before the signal aborted or the channel closed. */
	probe(
		probe: Omit<ProbeMessage, 'type' | 'sequence'>,
		signal: AbortSignal,
	): Promise<AcknowledgementMessage | undefined>;
	/** Undefined when no body arrived before the signal aborted or the channel closed. */
	requestConfiguration(
		signal: AbortSignal,
	): Promise<ConfigurationBodyMessage | undefined>;
	sendSuspects(message: SuspectsMessage): void;
	/** Serves the peer until the channel closes. */
	serve(): Promise<void>;
	close(reason: string): void;
	/** Number of exchanges and probes that are open in either direction. */
	openExchanges(): number;
	/** Number of messages received; a connection on which it does not change is idle. */
	received(): number;
};

/** Maximum number of open calls of one peer; more are refused as overload. */
const openCallLimit = 4096;

type Handlers = {
	[Type in Message['type']]: (message: Extract<Message, {type: Type}>) => void;
};

/** Creates the connection; nothing is read until `serve`. */
export function createPeerConnection(
	channel: MessageChannel,
	services: PeerServices,
): PeerConnection {
	const exchanges = createExchangeTable((message) => channel.send(message));
	const served = new Map<number, AbortController>();
	const probes = new Map<
		number,
		(message: AcknowledgementMessage | undefined) => void
	>();
	const bodyWaiters = new Set<
		(message: ConfigurationBodyMessage | undefined) => void
	>();
	let sequence = 1;
	let received = 0;

	/** The request may have been handed over before an error. */
	const callSafely = async (
		message: CallMessage,
		signal: AbortSignal,
	): Promise<ExchangeResult> => {
		try {
			return await services.call(message, signal);
		} catch (error) {
			const detail = describeError(error);
			services.reporter.recordEvent({
				name: 'taskFailed',
				task: `call of ${channel.peer.node}`,
				detail,
			});
			const refusal = createRefusal(ErrorCode.Internal, {detail});
			return {outcome: createUnknownOutcome(refusal)};
		}
	};

	const answerCall = async (message: CallMessage) => {
		const {exchange} = message;
		if (served.size >= openCallLimit || served.has(exchange)) {
			const outcome = {
				outcome: createUnknownOutcome(createRefusal(ErrorCode.Overloaded)),
			};
			channel.send(writeAnswer(exchange, outcome));
			return;
		}

		const stop = new AbortController();
		served.set(exchange, stop);
		const result = await callSafely(message, stop.signal);
		served.delete(exchange);
		const isSent = channel.send(writeAnswer(exchange, result));
		if (!isSent && result.outcome.kind === 'answered') {
			reportDropped(exchange);
		}
	};

	/** The request has run; without a message its caller would wait until its deadline. */
	const reportDropped = (exchange: number) => {
		const outcome = createUnknownOutcome(createRefusal(ErrorCode.AnswerLost));
		channel.send(writeAnswer(exchange, {outcome}));
		services.reporter.recordEvent({
			name: 'answerDropped',
			peer: channel.peer.node,
		});
	};

	const rejectMessage = (message: Message) => {
		services.reporter.recordEvent({
			name: 'malformedMessage',
			detail: `${message.type} after the handshake`,
		});
		channel.close('unexpected message');
	};

	const handlers: Handlers = {
		hello: rejectMessage,
		proof: rejectMessage,
		call(message) {
			void answerCall(message);
		},
		answer(message: AnswerMessage) {
			if (!exchanges.settle(message)) {
				services.reporter.recordEvent({
					name: 'lateAnswer',
					peer: channel.peer.node,
				});
			}
		},
		cancel(message) {
			served.get(message.exchange)?.abort();
		},
		probe(message) {
			channel.send(services.probe(message));
		},
		acknowledgement(message) {
			probes.get(message.sequence)?.(message);
		},
		configurationRequest() {
			const body = services.configurationBody();
			if (body) {
				channel.send(body);
			}
		},
		configurationBody(message) {
			for (const settle of bodyWaiters) {
				settle(message);
			}
		},
		suspects(message) {
			services.receiveSuspects(message);
		},
	};

	const closeAll = () => {
		exchanges.closeAll();
		for (const settle of [...probes.values(), ...bodyWaiters]) {
			settle(undefined);
		}

		// The callers of these requests are at the other end of the closed channel.
		for (const stop of served.values()) {
			stop.abort();
		}
	};

	return {
		peer: channel.peer,
		async call(request, options, signal) {
			return exchanges.open(
				(exchange) => ({type: 'call', exchange, request, ...options}),
				signal,
			);
		},
		async probe(probe, signal) {
			const number = sequence++;
			return new Promise((resolve) => {
				const settle = (message: AcknowledgementMessage | undefined) => {
					probes.delete(number);
					signal.removeEventListener('abort', onAbort);
					resolve(message);
				};

				const onAbort = () => {
					settle(undefined);
				};

				probes.set(number, settle);
				signal.addEventListener('abort', onAbort);
				if (!channel.send({type: 'probe', sequence: number, ...probe})) {
					settle(undefined);
				}
			});
		},
		async requestConfiguration(signal) {
			return new Promise((resolve) => {
				const settle = (message: ConfigurationBodyMessage | undefined) => {
					bodyWaiters.delete(settle);
					signal.removeEventListener('abort', onAbort);
					resolve(message);
				};

				const onAbort = () => {
					settle(undefined);
				};

				bodyWaiters.add(settle);
				signal.addEventListener('abort', onAbort);
				if (!channel.send({type: 'configurationRequest'})) {
					settle(undefined);
				}
			});
		},
		sendSuspects(message) {
			channel.send(message);
		},
		async serve() {
			const initialMessage = services.initialMessage();
			if (initialMessage) {
				channel.send(initialMessage);
			}

			try {
				for await (const message of channel.receive()) {
					received++;
					const handle = handlers[message.type] as (message: Message) => void;
					handle(message);
				}
			} catch (error) {
				// Nothing reads it any more, and its peer would wait for answers.
				channel.close('failed');
				throw error;
			} finally {
				closeAll();
			}
		},
		close(reason) {
			channel.close(reason);
		},
		received: () => received,
		openExchanges: () => exchanges.size() + served.size + probes.size,
	};
}
