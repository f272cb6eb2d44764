/** Chooses by request id, so that all nodes of a chain log the same requests. */

import {hashText} from '@egretspoke/shared';

const hashRange = 2 ** 32;

/** Creates the choice for a share from 0 to 1. */
export function createRequestSample(
	share: number,
): (request: string) => boolean {
	if (share >= 1) {
		return () => true;
	}

	const threshold = share * hashRange;
	return (request) => hashText(request) < threshold;
}
