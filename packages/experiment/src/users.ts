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
import type {Simulation} from './simulation.js';

/** Tries of one request, the first one included. */
const clientTries = 3;

/** How many times the wait for a try a request's deadline is away. */
const deadlineFactor = 3;

/** How many times the wait for a try a user keeps a want up. */
const abandonmentFactor = 10;

/** Milliseconds that a user thinks before a new request: the least, and the span above it. */
const minThinkTime = 2000;
const thinkTimeSpread = 2000;

/** The share of clients that honour Retry-After. */
const honouringRatio = 0.5;

/** A user with a want. */
type User = {
	operation: Operation;
	caller: string;
	honoursRetryAfter: boolean;
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
	simulation: Simulation,
	homes: Home[],
	demand: Demand,
	span: DemandSpan,
): void {
	const {clock} = simulation;
	const {begin, end, rate, random} = span;
	const scheduleArrival = () => {
		const wait = (-Math.log(1 - random.fraction()) * 1000) / rate;
		const at = Math.max(clock.now(), begin) + wait;
		if (at >= end) {
			return;
		}

		clock.setTimer(at - clock.now(), () => {
			const user = createUser(simulation, homes, demand, random);
			simulation.tally.userArrivals.push({
				at: clock.now(),
				operation: user.operation,
			});
			sendNewRequest(simulation, user);
			scheduleArrival();
		});
	};

	scheduleArrival();
}

function createUser(
	simulation: Simulation,
	homes: Home[],
	demand: Demand,
	random: Random,
): User {
	const operation = drawOperation(demand.operations, random);
	return {
		operation,
		caller: demand.callers[random.below(demand.callers.length)]!,
		honoursRetryAfter: random.fraction() < honouringRatio,
		home: homes[random.below(homes.length)]!,
		abandonsAt:
			simulation.clock.now() + abandonmentFactor * operation.tryTimeout,
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
function sendNewRequest(simulation: Simulation, user: User): void {
	const {clock, tally} = simulation;
	const now = clock.now();
	const request: UserRequest = {
		operation: user.operation,
		caller: user.caller,
		sentAt: now,
		deadline: now + deadlineFactor * user.operation.tryTimeout,
		work: 0,
	};
	tally.recordRequest(request);
	sendRequest(simulation, user, request, (retryAfter) => {
		const think = minThinkTime + user.random.fraction() * thinkTimeSpread;
		const wait = Math.max(think, user.honoursRetryAfter ? retryAfter : 0);
		if (clock.now() + wait < user.abandonsAt) {
			clock.setTimer(wait, () => {
				sendNewRequest(simulation, user);
			});
		}
	});
}

/** Tries until an answer, the last try or the deadline; tells only of a failure. */
function sendRequest(
	simulation: Simulation,
	user: User,
	request: UserRequest,
	failed: (retryAfter: number) => void,
): void {
	const {clock} = simulation;
	let tries = 0;

	const retryOrFail = (retryAfter: number) => {
		const wait = user.honoursRetryAfter ? retryAfter : 0;
		if (tries >= clientTries || clock.now() + wait >= request.deadline) {
			failed(retryAfter);
		} else {
			clock.setTimer(wait, tryOnce);
		}
	};

	const tryOnce = () => {
		tries++;
		sendTry(simulation, user.home, request, (end) => {
			if (end?.kind === 'answered') {
				request.answeredAt = clock.now();
			} else {
				retryOrFail(end?.retryAfter ?? 0);
			}
		});
	};

	tryOnce();
}

/** One try; its end is undefined when no answer came in time. */
function sendTry(
	simulation: Simulation,
	home: Home,
	request: UserRequest,
	done: (end: CallEnd | undefined) => void,
): void {
	const {clock, deployment, tally} = simulation;
	const {clientDelay} = deployment;
	const {tryTimeout} = request.operation;
	const timeLeft = Math.min(tryTimeout, request.deadline - clock.now());
	let isOpen = true;
	let leave: (() => void) | undefined;

	const close = (end: CallEnd | undefined) => {
		isOpen = false;
		timer.cancel();
		done(end);
	};

	const timer = simulation.deadlines.set(clock.now() + timeLeft, () => {
		close(undefined);
		clock.setTimer(clientDelay, () => leave?.());
	});
	clock.setTimer(clientDelay, () => {
		const attempt = createClientAttempt(simulation, request, timeLeft);
		leave = home.handle(attempt, (end) => {
			if (end.kind === 'notRun') {
				tally.recordNotRun(attempt);
			}

			clock.setTimer(clientDelay, () => {
				if (isOpen) {
					close(end);
				}
			});
		});
	});
}

/** The client's try as the root of all attempts that are made for it. */
function createClientAttempt(
	simulation: Simulation,
	request: UserRequest,
	timeLeft: number,
): Attempt {
	const {clock, variant, deployment} = simulation;
	const {operation, caller} = request;
	const {plan, requestClass, idempotent} = operation;
	const deadline = clock.now() + timeLeft;
	const service = deployment.services[plan.role].name;
	const chain = simulation.nextId();
	return {
		call: {
			request,
			plan,
			service,
			chain,
			deadline: variant.callDeadline(deadline),
			attempts: variant.attempts,
		},
		facts: {
			id: chain,
			service,
			requestClass,
			caller,
			operation: plan.operation,
			deadline,
			attempts: variant.attempts,
			idempotent,
		},
		node: '',
		hasRun: false,
		reportedNotRun: false,
	};
}
