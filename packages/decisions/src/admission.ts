/**
 * Admission at the target's node. Requests wait by class, each class first in
 * first out, until a slot is free or their time in the queue is over.
 */
import {
	ErrorCode,
	rankOf,
	requestClasses,
	type LoadReport,
} from '@egretspoke/protocol';
import type {
	AdmissionContext,
	AdmissionPolicy,
	AdmissionTurn,
	CallFacts,
	RefusalDecision,
} from './policy.js';

/** Milliseconds that a request may wait for a slot. */
const queueTime = 250;

type Waiting = {call: CallFacts; since: number; until: number};

/** Creates the admission of one target. */
export function createAdmission(context: AdmissionContext): AdmissionPolicy {
	const {slots} = context;
	const queues: Waiting[][] = requestClasses.map(() => []);
	const running = new Set<string>();
	let queueDelay = 0;
	let serviceTime = 0;

	const waiting = () => queues.flat();
	const takeExpired = (now: number): AdmissionTurn[] => {
		const expired = waiting().filter((entry) => entry.until <= now);
		for (const queue of queues) {
			queue.splice(
				0,
				queue.length,
				...queue.filter((entry) => entry.until > now),
			);
		}

		return expired.map(({call}) => ({
			id: call.id,
			...refuse(
				call.deadline <= now
					? ErrorCode.DeadlinePassed
					: ErrorCode.QueueTimeout,
				'waited for its whole time in the queue',
			),
		}));
	};

	return {
		arrive(call, now) {
			if (call.deadline <= now) {
				return refuse(ErrorCode.DeadlinePassed, 'arrived after its deadline');
			}

			if (running.size < slots && waiting().length === 0) {
				running.add(call.id);
				return {kind: 'dispatch', reason: `${running.size} of ${slots} slots`};
			}

			queues[rankOf(call.requestClass)]?.push({
				call,
				since: now,
				until: Math.min(call.deadline, now + queueTime),
			});
			return {kind: 'wait', reason: `all ${slots} slots are taken`};
		},
		withdraw(id) {
			for (const queue of queues) {
				const index = queue.findIndex(({call}) => call.id === id);
				if (index !== -1) {
					queue.splice(index, 1);
					return true;
				}
			}

			return false;
		},
		finish(id, completion) {
			running.delete(id);
			serviceTime += (completion.duration - serviceTime) / 16;
		},
		turns(now) {
			const turns = takeExpired(now);
			for (const queue of queues) {
				while (running.size < slots && queue.length > 0) {
					const [{call, since}] = queue.splice(0, 1) as [Waiting];
					running.add(call.id);
					queueDelay = now - since;
					turns.push({
						id: call.id,
						kind: 'dispatch',
						reason: `waited ${queueDelay.toFixed(1)} ms`,
					});
				}
			}

			return turns;
		},
		wakeAt() {
			const instants = waiting().map((entry) => entry.until);
			return instants.length === 0 ? undefined : Math.min(...instants);
		},
		drain() {
			const turns = waiting().map(({call}) => ({
				id: call.id,
				...refuse(ErrorCode.Leaving, 'the target is leaving'),
			}));
			for (const queue of queues) {
				queue.length = 0;
			}

			return turns;
		},
		report: (): LoadReport => ({
			inFlight: running.size,
			limit: slots,
			waiting: waiting().length,
			queueDelay,
			level: 383,
			serviceTime,
		}),
	};
}

function refuse(code: ErrorCode, reason: string): RefusalDecision {
	return {kind: 'refuse', code, reason, retryAfter: queueTime};
}
