/**
 * Bounds the connections of a server for short requests, such as readiness
 * checks, and of one whose connections become links. What exceeds a limit is
 * closed without an answer.
 */
import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';
import type {
	BudgetedConnection,
	ConnectionBudget,
} from './connection-budget.js';
import {
	ConnectionIntake,
	connectionBytes,
	readConnection,
	requestBytes,
	type ConnectionReading,
	type IntakeLimits,
} from './connection-intake.js';

/** What a connection that became a link holds. */
export type GuardedLink = {
	/** Bytes of messages that are not complete or not sent. */
	held(): number;
	/** Whether the peer has identified itself. */
	isKnown(): boolean;
};

/** The guarded connections. */
export type ServerGuard = {
	/** Replaces the limits of requests, once a connection has become a link. */
	becomeLink(socket: Socket, link: GuardedLink): void;
};

/** Options of `guardServer`. */
export type ServerGuardOptions = {
	budget: ConnectionBudget;
	limits: IntakeLimits;
};

/** Limits of a server whose requests have at most a few hundred bytes. */
export const shortRequestLimits: IntakeLimits = {
	headBytes: 16 * 1024,
	bodyBytes: 64 * 1024,
	headTime: 5000,
	idleTime: 10_000,
};

/** Maximum number of requests of a connection that are not answered. */
const maxRequestsAhead = 16;
/** Maximum milliseconds in which the peer of a link identifies itself. */
const maxUnknownTime = 10_000;

/** Guards a server that doesn't listen yet. */
export function guardServer(
	server: Server,
	options: ServerGuardOptions,
): ServerGuard {
	const connections = new Map<Socket, GuardedConnection>();
	server.on('connection', (socket) => {
		const connection = new GuardedConnection(socket, options.limits);
		connections.set(socket, connection);
		const remove = options.budget.add(connection);
		socket.once('close', () => {
			connections.delete(socket);
			remove();
		});
	});
	server.on('request', (request, response) => {
		const connection = connections.get(request.socket);
		connection?.receive(request);
		response.once('close', () => {
			connection?.answer();
		});
	});
	return {
		becomeLink(socket, link) {
			connections.get(socket)?.becomeLink(link);
		},
	};
}

class GuardedConnection implements BudgetedConnection {
	private readonly intake = new ConnectionIntake();
	private lastRequest: IncomingMessage | undefined = undefined;
	private unanswered = 0;
	private link: GuardedLink | undefined = undefined;
	private unknownTime = 0;

	constructor(
		private readonly socket: Socket,
		private readonly limits: IntakeLimits,
	) {}

	receive(request: IncomingMessage): void {
		this.intake.receive();
		this.lastRequest = request;
		this.unanswered++;
		if (this.unanswered > maxRequestsAhead) {
			this.close();
		}
	}

	answer(): void {
		this.unanswered--;
	}

	becomeLink(link: GuardedLink): void {
		this.link = link;
	}

	held(): number {
		const waiting = connectionBytes + this.socket.writableLength;
		return this.link
			? waiting + this.link.held()
			: waiting +
					this.unanswered * requestBytes +
					this.intake.headHeld(this.read()) +
					this.intake.bodyHeld(this.read());
	}

	isIdle(): boolean {
		return this.link
			? !this.link.isKnown()
			: this.unanswered === 0 || this.intake.givesWay(this.read());
	}

	check(elapsed: number): void {
		if (this.link) {
			this.checkLink(this.link, elapsed);
		} else if (this.intake.check(this.read(), elapsed, this.limits)) {
			this.close();
		}
	}

	close(): void {
		this.socket.destroy();
	}

	private checkLink(link: GuardedLink, elapsed: number): void {
		this.unknownTime = link.isKnown() ? 0 : this.unknownTime + elapsed;
		if (this.unknownTime > maxUnknownTime) {
			this.close();
		}
	}

	private read(): ConnectionReading {
		return readConnection(this.socket, this.lastRequest);
	}
}
