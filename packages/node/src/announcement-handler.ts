/** Handles announcements of the local target, and closes the client of a previous one. */
import {isDeepStrictEqual} from 'node:util';
import type {Control} from '@egretspoke/control';
import type {TargetAnnouncement} from '@egretspoke/protocol';
import {runDetached} from '@egretspoke/shared';
import {createHttpTargetClient} from './http-target-client.js';
import type {NodeCore} from './node-core.js';
import type {NodeSettings} from './settings.js';

/** Handles an announcement. A repeated announcement without changes has no effect. */
export type AnnouncementHandler = (announcement: TargetAnnouncement) => void;

/** Creates the handler of one node. Without a target in the settings, announcements are ignored. */
export function createAnnouncementHandler(
	{target, limits}: NodeSettings,
	core: NodeCore,
	control: Control,
	onCloseFailure: (error: unknown) => void,
): AnnouncementHandler {
	let current: TargetAnnouncement | undefined;
	let client: ReturnType<typeof createHttpTargetClient> | undefined;

	return (announcement) => {
		if (!target || isDeepStrictEqual(announcement, current)) {
			return;
		}

		const next = createHttpTargetClient({
			address: target.address,
			connections: announcement.connections,
			bodyLimit: limits.body,
		});
		core.announce({announcement, client: next});
		// Closing waits for the requests in progress on the previous client.
		const closing = client?.close() ?? Promise.resolve();
		void runDetached(closing, onCloseFailure);
		client = next;
		// Set last, so that an announcement that failed is not ignored when it is repeated.
		control.announceTarget(announcement);
		current = announcement;
	};
}
