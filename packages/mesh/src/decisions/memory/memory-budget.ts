/**
 * Bounds the bytes of requests and responses that a node holds.
 *
 * Load pattern: some callers send or read bodies that together exceed the memory
 * of the VM, and the platform kills a process that exceeds it, with all other
 * requests on it. Each kind of bytes has a share of the memory of its own, so
 * that small requests go on beside large ones, and no step of a request waits
 * for memory that a later step of another request needs: request bodies wait
 * before they are read, and what has run is passed on in parts.
 */

/** The kinds of bytes that are counted. */
export type HeldKind =
	/** Request bodies of up to `largeBody` bytes. */
	| 'smallBodies'
	/** Larger request bodies. */
	| 'largeBodies'
	/** Whole responses that callers have not read yet. */
	| 'responses'
	/** Whole responses that other nodes have not read yet. */
	| 'answers'
	/** Parts of responses that are passed on while they arrive. */
	| 'streams'
	/** Messages to other nodes that are not sent yet. */
	| 'frames';

/** Bytes above which a body is held in the share for large ones, and is sent to other nodes in parts. */
export const largeBody = 512 * 1024;

/**
 * Shares of the memory. The rest is for the program, for what the garbage
 * collector has not freed yet, and for the buffers of the system.
 */
const shares: Record<HeldKind, number> = {
	smallBodies: 0.05,
	largeBodies: 0.27,
	responses: 0.045,
	answers: 0.045,
	streams: 0.04,
	frames: 0.04,
};

/**
 * Share of the memory for open connections, from that of the program: heads,
 * requests in progress, and answers that nobody reads.
 */
export const connectionMemoryShare = 0.16;

/**
 * Bytes after which dropped parts and dropped large bodies are collected. V8
 * itself lets up to half of its heap limit accumulate in buffers.
 */
const maxCollectedParts = 16 * 1024 * 1024;
const maxCollectedBodies = 32 * 1024 * 1024;
/** The same as shares of the memory, for small VMs. */
const collectedPartsShare = 0.06;
const collectedBodiesShare = 0.1;

/** Runs the garbage collector for what was dropped recently, or for everything. */
export type Collect = (scope: 'recent' | 'all') => void;

/** Maximum number of bodies that wait for memory: the system buffers the beginning of each. */
const maxWaiting = 32;

/** A part of the memory that a body takes. */
export type BodyHold = {
	/** Gives back what the body turned out not to need. */
	shrink(bytes: number): void;
	/** Adds a holder; the bytes are given back once all have released them. */
	retain(): void;
	release(): void;
};

/** Receives the hold, or undefined if the body is refused. */
export type HoldHandler = (hold: BodyHold | undefined) => void;

/** The bytes that a node holds. */
export type MemoryBudget = {
	/** The maximum size of a body that can be held. */
	readonly maxBody: number;
	/** The bytes that are held of each kind. */
	readonly held: Readonly<Record<HeldKind, number>>;
	/** Whether the share is used up. */
	isFull(kind: HeldKind): boolean;
	/** Whether a body waits for memory. */
	isAwaited(): boolean;
	/** Counts bytes that are held in any case. */
	add(kind: HeldKind, bytes: number): void;
	remove(kind: HeldKind, bytes: number): void;
	/** Takes memory for a body; undefined if it doesn't fit now. */
	hold(bytes: number): BodyHold | undefined;
	/**
	 * Takes memory for a body now or when it fits, in the order of the calls;
	 * refuses it if it never fits or too many wait. Returns a function that
	 * withdraws it; the handler is then not called.
	 */
	holdWhenFree(bytes: number, onDecision: HoldHandler): () => void;
	/** Counts the bytes of a part of a body that is dropped after it was copied or sent. */
	dropPart(bytes: number): void;
	/** Counts the bytes of a whole body that is dropped after it was held for some time. */
	dropBody(bytes: number): void;
	/** Calls back once when a full share has room again; returns a function that withdraws it. */
	whenFree(kind: HeldKind, callback: () => void): () => void;
};

type Waiter = {bytes: number; onDecision: HoldHandler};

/** Creates the budget of a node with so many bytes of memory. */
export function createMemoryBudget(
	memory: number,
	collect: Collect = () => undefined,
): MemoryBudget {
	const held: Record<HeldKind, number> = {
		smallBodies: 0,
		largeBodies: 0,
		responses: 0,
		answers: 0,
		streams: 0,
		frames: 0,
	};
	const limitOf = (kind: HeldKind) => shares[kind] * memory;
	const maxBody = limitOf('largeBodies');
	const collectedParts = Math.min(
		maxCollectedParts,
		memory * collectedPartsShare,
	);
	const collectedBodies = Math.min(
		maxCollectedBodies,
		memory * collectedBodiesShare,
	);
	/** Bodies that wait, first come first served. */
	const waiters: Waiter[] = [];
	const callbacks = new Map<HeldKind, Set<() => void>>();
	let droppedParts = 0;
	let droppedBodies = 0;

	const dropPart = (bytes: number) => {
		droppedParts += bytes;
		if (droppedParts >= collectedParts) {
			droppedParts = 0;
			collect('recent');
		}
	};

	const dropBody = (bytes: number) => {
		droppedBodies += bytes;
		if (droppedBodies >= collectedBodies) {
			droppedBodies = 0;
			droppedParts = 0;
			collect('all');
		}
	};

	const fits = (kind: HeldKind, bytes: number) =>
		held[kind] + bytes <= limitOf(kind);

	const findRoom = (bytes: number): HeldKind | undefined => {
		if (bytes <= largeBody && fits('smallBodies', bytes)) {
			return 'smallBodies';
		}

		return fits('largeBodies', bytes) ? 'largeBodies' : undefined;
	};

	const remove = (kind: HeldKind, bytes: number) => {
		held[kind] -= bytes;
		if (bytes <= 0) {
			return;
		}

		if (kind === 'largeBodies') {
			admitWaiting();
		}

		const waiting = callbacks.get(kind);
		if (waiting && held[kind] < limitOf(kind)) {
			callbacks.delete(kind);
			for (const callback of waiting) {
				callback();
			}
		}
	};

	const take = (kind: HeldKind, bytes: number): BodyHold => {
		held[kind] += bytes;
		let size = bytes;
		let holders = 1;
		return {
			shrink(needed) {
				const surplus = size - needed;
				size = needed;
				remove(kind, surplus);
			},
			retain() {
				holders++;
			},
			release() {
				holders--;
				if (holders === 0) {
					if (kind === 'largeBodies') {
						dropBody(size);
					}

					remove(kind, size);
				}
			},
		};
	};

	const admitWaiting = () => {
		while (waiters.length > 0 && fits('largeBodies', waiters[0]!.bytes)) {
			const {bytes, onDecision} = waiters.shift()!;
			onDecision(take('largeBodies', bytes));
		}
	};

	const hold = (bytes: number): BodyHold | undefined => {
		const kind = findRoom(bytes);
		// A body never overtakes those that wait, except in the share for small ones.
		return kind === undefined || (kind === 'largeBodies' && waiters.length > 0)
			? undefined
			: take(kind, bytes);
	};

	return {
		maxBody,
		held,
		isFull: (kind) => held[kind] >= limitOf(kind),
		isAwaited: () => waiters.length > 0,
		add(kind, bytes) {
			held[kind] += bytes;
		},
		remove,
		dropPart,
		dropBody,
		hold,
		holdWhenFree(bytes, onDecision) {
			const taken = hold(bytes);
			const mayWait = bytes <= maxBody && waiters.length < maxWaiting;
			if (taken !== undefined || !mayWait) {
				onDecision(taken);
				return () => undefined;
			}

			const waiter = {bytes, onDecision};
			waiters.push(waiter);
			return () => {
				const index = waiters.indexOf(waiter);
				if (index !== -1) {
					waiters.splice(index, 1);
					admitWaiting();
				}
			};
		},
		whenFree(kind, callback) {
			const waiting = callbacks.get(kind) ?? new Set();
			callbacks.set(kind, waiting);
			waiting.add(callback);
			return () => {
				callbacks.get(kind)?.delete(callback);
			};
		},
	};
}
