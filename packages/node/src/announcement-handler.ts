/** The target beside the node: takes its announcements, and lets go of a former one. */
import {isDeepStrictEqual} from 'node:util';
import type {Control} from '@egretspoke/control';
import type {TargetAnnouncement} from '@egretspoke/protocol';
import {createHttpTargetClient} from './http-target-client.js';
import type {NodeCore} from './node-core.js';
import type {NodeSettings} from './settings.js';

/** Takes an announcement. A target that announces itself again unchanged, as often as it likes, changes nothing. */
export type AnnouncementHandler = (announcement: TargetAnnouncement) => void;

/** Creates the taker of one node. Without a target in the settings, announcements are ignored. */
export function createAnnouncementHandler(
	{target, limits}: NodeSettings,
	core: NodeCore,
	control: Control,
): AnnouncementHandler {
	let current: TargetAnnouncement | undefined;
	let client: ReturnType<typeof createHttpTargetClient> | undefined;

	return (announcement) => {
		if (!target || isDeepStrictEqual(announcement, current)) {
			return;
		}

		// Closing waits for the requests that the former client still carries.
		void client?.close();
		current = announcement;
		client = createHttpTargetClient({
			address: target.address,
			connections: announcement.connections,
			bodyLimit: limits.body,
		});
		core.announce({announcement, client});
		control.announceTarget(announcement);
	};
}
