/**
 * The users and their clients, the same for both sides. A user wants one
 * thing, and the want lives on until it is served or abandoned:
 *
 * - The client sends a request with a deadline of three seconds. It waits one
 *   second for the answer to a try, and tries at once up to three times. For a
 *   long operation all times of waiting are five times as long.
 * - Half of the clients honour Retry-After: they wait as told before the next
 *   try, and give the request up if that is past its deadline. The others
 *   retry at once whatever they are told.
 * - After a request has failed the user thinks for two to four seconds (one
 *   who was told to come back later waits at least that long, if the client
 *   honours it) and sends a new request. Ten seconds after the want arose it
 *   is abandoned.
 * - A repeated try carries the key of its request; a new request has a new one.
 */
import type {Random} from '@egretspoke/shared';
import type {Attempt, CallEnd, UserRequest} from './call.js';
import type {Operation} from './deployment.js';
import type {Home} from './home.js';
import type {Demand} from './scenario.js';
import type {World} from './world.js';

/** Tries of one request, the first one included. */
const clientTries = 3;

/** How many times the wait for a try a request's deadline is away. */
const deadlineTries = 3;

/** How many times the wait for a try a user keeps a want up. */
const patienceTries = 10;

/** Milliseconds that a user thinks before a new request: the least, and the span above it. */
const thinkLeast = 2000;
const thinkSpan = 2000;

/** The share of clients that honour Retry-After. */
const honouringShare = 0.5;

/** A user with a want. */
type User = {
	operation: Operation;
	caller: string;
	honours: boolean;
	/** The node that the client speaks to. */
	home: Home;
	abandonsAt: number;
	random: Random;
};

/** When and how fast wants arise. */
export type DemandSpan = {
	begin: number;
	end: number;
	/** Wants a second. */
	rate: number;
	random: Random;
};

/** Lets wants arise, as a Poisson process, until the run is over. */
export function startDemand(
	world: World,
	homes: Home[],
	demand: Demand,
	span: DemandSpan,
): void {
	const {clock} = world;
	const {begin, end, rate, random} = span;
	const arise = () => {
		const wait = (-Math.log(1 - random.fraction()) * 1000) / rate;
		const at = Math.max(clock.now(), begin) + wait;
		if (at >= end) {
			return;
		}

		clock.setTimer(at - clock.now(), () => {
			const user = createUser(world, homes, demand, random);
			world.tally.wants.push({at: clock.now(), operation: user.operation});
			press(world, user);
			arise();
		});
	};

	arise();
}

function createUser(
	world: World,
	homes: Home[],
	demand: Demand,
	random: Random,
): User {
	const operation = drawOperation(demand.operations, random);
	return {
		operation,
		caller: demand.callers[random.below(demand.callers.length)]!,
		honours: random.fraction() < honouringShare,
		home: homes[random.below(homes.length)]!,
		abandonsAt: world.clock.now() + patienceTries * operation.tryTimeout,
		random: random.fork(),
	};
}

function drawOperation(operations: Operation[], random: Random): Operation {
	let left = random.fraction();
	for (const operation of operations) {
		left -= operation.share;
		if (left < 0) {
			return operation;
		}
	}

	return operations.at(-1)!;
}

/** The user sends a new request. */
function press(world: World, user: User): void {
	const {clock, tally} = world;
	const now = clock.now();
	const request: UserRequest = {
		operation: user.operation,
		caller: user.caller,
		sentAt: now,
		deadline: now + deadlineTries * user.operation.tryTimeout,
		work: 0,
	};
	tally.requestSent(request);
	sendRequest(world, user, request, (retryAfter) => {
		const think = thinkLeast + user.random.fraction() * thinkSpan;
		const wait = Math.max(think, user.honours ? retryAfter : 0);
		if (clock.now() + wait < user.abandonsAt) {
			clock.setTimer(wait, () => {
				press(world, user);
			});
		}
	});
}

/** Tries until an answer, the last try or the deadline; tells only of a failure. */
function sendRequest(
	world: World,
	user: User,
	request: UserRequest,
	failed: (retryAfter: number) => void,
): void {
	const {clock} = world;
	let tries = 0;

	const tryAgain = (retryAfter: number) => {
		const wait = user.honours ? retryAfter : 0;
		if (tries >= clientTries || clock.now() + wait >= request.deadline) {
			failed(retryAfter);
		} else {
			clock.setTimer(wait, tryOnce);
		}
	};

	const tryOnce = () => {
		tries++;
		sendTry(world, user.home, request, (end) => {
			if (end?.kind === 'answered') {
				request.answeredAt = clock.now();
			} else {
				tryAgain(end?.retryAfter ?? 0);
			}
		});
	};

	tryOnce();
}

/** One try; its end is undefined when no answer came in time. */
function sendTry(
	world: World,
	home: Home,
	request: UserRequest,
	done: (end: CallEnd | undefined) => void,
): void {
	const {clock, deployment, tally} = world;
	const {toClients} = deployment;
	const {tryTimeout} = request.operation;
	const timeLeft = Math.min(tryTimeout, request.deadline - clock.now());
	let open = true;
	let leave: (() => void) | undefined;

	const close = (end: CallEnd | undefined) => {
		open = false;
		timer.cancel();
		done(end);
	};

	const timer = world.deadlines.set(clock.now() + timeLeft, () => {
		close(undefined);
		clock.setTimer(toClients, () => leave?.());
	});
	clock.setTimer(toClients, () => {
		const attempt = createClientAttempt(world, request, timeLeft);
		leave = home.handle(attempt, (end) => {
			if (end.kind === 'notRun') {
				tally.saidNotRun(attempt);
			}

			clock.setTimer(toClients, () => {
				if (open) {
					close(end);
				}
			});
		});
	});
}

/** The client's try as the root of all attempts that are made for it. */
function createClientAttempt(
	world: World,
	request: UserRequest,
	timeLeft: number,
): Attempt {
	const {clock, contender, deployment} = world;
	const {operation, caller} = request;
	const {plan, requestClass, idempotent} = operation;
	const deadline = clock.now() + timeLeft;
	const service = deployment.services[plan.role].name;
	const chain = world.nextId();
	return {
		call: {
			request,
			plan,
			service,
			chain,
			deadline: contender.callDeadline(deadline),
			attempts: contender.attempts,
		},
		facts: {
			id: chain,
			service,
			requestClass,
			caller,
			operation: plan.operation,
			deadline,
			attempts: contender.attempts,
			idempotent,
		},
		node: '',
		hasRun: false,
		saidNotRun: false,
	};
}
