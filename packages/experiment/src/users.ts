/**
 * Simulates users and their clients, the same for every policy. A user arrives,
 * needs one operation and leaves once it is answered or abandoned. The client
 * sends a request with a deadline and makes several tries, each with a timeout.
 * After a failed request the user sends a new one.
 */
import type {Random} from '@egretspoke/shared';
import type {Attempt, CallEnd, UserRequest} from './call.js';
import type {Operation} from './deployment.js';
import type {Home} from './home.js';
import type {Demand} from './scenario.js';
import type {Simulation} from './simulation.js';

/**
 * Maximum tries of one request, including the first; there is no backoff
 * between them.
 */
const clientTries = 3;

/**
 * Deadline of a request, as a multiple of the try timeout: three seconds with a
 * timeout of one second. All timeouts of a long operation are five times as
 * long.
 */
const deadlineFactor = 3;

/**
 * Time from a user's arrival until the user abandons, as a multiple of the try
 * timeout: ten seconds with a timeout of one second.
 */
const abandonmentFactor = 10;

/**
 * Think time before a new request in milliseconds, two to four seconds: the
 * minimum, and the range of the uniform addition. It is at least the
 * retry-after time if the client honours it.
 */
const minThinkTime = 2000;
const thinkTimeSpread = 2000;

/**
 * Fraction of clients that honour Retry-After: they delay the next try, or fail
 * the request if the delay exceeds its deadline. The others retry immediately.
 */
const honouringRatio = 0.5;

/** A user who needs one operation. */
type User = {
	operation: Operation;
	caller: string;
	honoursRetryAfter: boolean;
	/** The node to which the client sends its requests. */
	home: Home;
	abandonsAt: number;
	random: Random;
};

/** Period and rate of user arrivals. */
export type DemandSpan = {
	begin: number;
	end: number;
	/** User arrivals per second. */
	rate: number;
	random: Random;
};

/** Schedules user arrivals as a Poisson process until the end of the period. */
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

/**
 * Sends a new request of the user. Its tries share one idempotency key; a new
 * request has a new key.
 */
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

/** Tries until an answer, the last try or the deadline; `failed` is called only on failure. */
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

/** Sends one try; `done` receives undefined on timeout. */
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

/** Creates the client's try, the root of all attempts made for it. */
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
