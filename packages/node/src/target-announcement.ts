/**
 * The call with which the local target announces itself: `POST
 * /.egretspoke/announcement` on the caller listener, from this VM only, with
 * `{"service", "slots", "connections"}`. It may be repeated at any time.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	targetAnnouncementSchema,
	type TargetAnnouncement,
} from '@egretspoke/protocol';
import {err, ok, type Result} from 'neverthrow';

/** The path of the call. */
export const announcementPath = '/.egretspoke/announcement';

/** True for an announcement; its sender is checked by `readAnnouncement`. */
export function isAnnouncement({method, url}: IncomingMessage): boolean {
	return method === 'POST' && url === announcementPath;
}

/** Reads the announcement; the error states what to correct. */
export function readAnnouncement(
	request: IncomingMessage,
	body: Uint8Array,
): Result<TargetAnnouncement, string> {
	const {remoteAddress, localAddress} = request.socket;
	const isLocal =
		remoteAddress !== undefined &&
		(remoteAddress === localAddress || remoteAddress.startsWith('127.'));
	if (!isLocal) {
		return err('an announcement is taken from the VM of the node only');
	}

	let value: unknown;
	try {
		value = JSON.parse(Buffer.from(body).toString('utf8'));
	} catch {
		return err('the announcement is not JSON');
	}

	const announcement = targetAnnouncementSchema.safeParse(value);
	return announcement.success
		? ok(announcement.data)
		: err(
				announcement.error.issues
					.map(({path, message}) => `${path.join('.')}: ${message}`)
					.join('; '),
			);
}
