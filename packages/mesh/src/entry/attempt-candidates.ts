/** Lists the targets that a request may be sent to next. */
import type {TargetCandidate} from '../members/directory.js';
import type {Forwarding} from './forwarding.js';
import {localNode} from './local-candidate.js';

/** Returns the available targets that were not tried; the list is valid until the next call. */
export function listCandidates({
	context,
	work,
	tried,
	wasRateLimited,
}: Forwarding): TargetCandidate[] {
	const {directory, dispatcher, local} = context;
	const candidates = directory.candidates(work.service, tried);
	if (!tried.includes(localNode) && dispatcher.serves(work.service)) {
		local.update(context.isStopping());
		candidates.push(local);
	}

	return wasRateLimited ? preferUnlimited(candidates) : candidates;
}

/** Whether the target is known to have room. */
export function hasRoom({occupancy}: TargetCandidate): boolean {
	return occupancy < 1;
}

/** Returns the targets without a rate limit; all if each has one. */
function preferUnlimited(candidates: TargetCandidate[]): TargetCandidate[] {
	const unlimited = candidates.filter(({isRateLimited}) => !isRateLimited);
	return unlimited.length > 0 ? unlimited : candidates;
}
