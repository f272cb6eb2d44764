/** Samples requests by a hash of their id, so that all nodes of a call chain log the same requests. */

import {hashText} from '@egretspoke/shared';

const hashRange = 2 ** 32;

/** Creates a predicate that selects the given share (0 to 1) of request ids. */
export function createRequestSample(
	share: number,
): (request: string) => boolean {
	if (share >= 1) {
		return () => true;
	}

	const threshold = share * hashRange;
	return (request) => hashText(request) < threshold;
}
