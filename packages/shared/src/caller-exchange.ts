/** A request on a connection of a caller, and its answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CallerConnection, CloseCause} from './caller-connection.js';

const nothing = () => undefined;

/** A request, which its connection counts until its answer is sent. */
export class CallerExchange {
	isAnswered = false;
	/** Whether the request was started, and not answered without that. */
	isStarted = false;
	private onStart: () => void = nothing;
	private onLeave: () => void = nothing;
	private onStall: (() => void) | undefined = undefined;
	private onUnsentEnd: () => void = nothing;

	constructor(
		private readonly connection: CallerConnection,
		readonly response: ServerResponse,
		/** Position of the request on its connection. */
		readonly order: number,
	) {}

	/**
	 * Accepts the request once it has arrived whole; false if its connection
	 * began to close meanwhile, and the request is dropped.
	 */
	accept(): boolean {
		return this.connection.accept(this);
	}

	/** Starts the accepted request now, or when enough answers before it are sent; not after the caller has left. */
	start(onStart: () => void): void {
		this.onStart = onStart;
		this.connection.start(this);
	}

	run(): void {
		this.isStarted = true;
		this.onStart();
	}

	/** Sets what is called when the caller disconnects before the answer. */
	whenLeft(onLeave: () => void): void {
		this.onLeave = onLeave;
	}

	/** Reads nothing more of the connection until `resumeReading`, because a body waits for memory. */
	pauseReading(): void {
		this.connection.pauseReading('memory');
	}

	resumeReading(): void {
		this.connection.resumeReading('memory');
	}

	/** Counts a part of the body. */
	receivePart(bytes: number): void {
		this.connection.receivePart(bytes);
	}

	/** Drops the rest of the body. */
	discard(request: IncomingMessage): void {
		request.on('data', (part: Uint8Array) => {
			this.connection.discardPart(part.byteLength);
		});
	}

	/** Sets what refuses the request when its body stops arriving; undefined once it has arrived. */
	whenStalled(onStall: (() => void) | undefined): void {
		this.onStall = onStall;
	}

	/** Refuses the request because its body has stopped arriving; returns false if it can't be refused any more. */
	stall(): boolean {
		const {onStall} = this;
		this.onStall = undefined;
		onStall?.();
		return onStall !== undefined;
	}

	/**
	 * Counts the bytes of the answer until they are sent or the connection is
	 * closed, and then calls back. Node reports no close of an answer that waits
	 * behind others.
	 */
	countUnsent(bytes: number, onEnd: () => void): void {
		this.onUnsentEnd = () => {
			this.onUnsentEnd = nothing;
			this.connection.addUnsent(-bytes);
			onEnd();
		};

		this.response.once('close', () => {
			this.onUnsentEnd();
		});
		this.connection.addUnsent(bytes);
	}

	/** The answer is being written. */
	answer(): void {
		this.isAnswered = true;
		this.onLeave = nothing;
	}

	/**
	 * Closes the connection after this answer, unless an accepted request is
	 * behind it. Called before the answer's headers are written.
	 */
	closeAfter(cause: CloseCause): void {
		const {connection} = this;
		if (!connection.hasAcceptedBehind(this)) {
			connection.closeBehind(this.order);
			connection.setCause(cause);
			this.announceClose();
		}
	}

	/** Adds `Connection: close` to the headers, unless they are written. */
	announceClose(): void {
		if (!this.response.headersSent) {
			this.response.shouldKeepAlive = false;
		}
	}

	leave(): void {
		this.onLeave();
		this.onUnsentEnd();
	}
}
