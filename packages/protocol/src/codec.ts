/** Encodes and decodes messages with msgpackr; decoded messages are validated by their schema. */
import {isAllocationBounded} from '@egretspoke/shared';
import {Packr} from 'msgpackr';
import {err, ok, type Result} from 'neverthrow';
import {messageSchema, type Message} from './message.js';

const packr = new Packr({useRecords: false, moreTypes: false});

/** Encodes one message; the caller owns the buffer. */
export function encodeMessage(message: Message): Uint8Array {
	return packr.pack(message);
}

/** Decodes one message; the error describes what is malformed, for the log. */
export function decodeMessage(data: Uint8Array): Result<Message, string> {
	let value: unknown;
	try {
		if (!isAllocationBounded(data)) {
			return err('lists that are longer than the message');
		}

		value = packr.unpack(data);
	} catch (error) {
		return err(`not MessagePack: ${String(error)}`);
	}

	const parsed = messageSchema.safeParse(value);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const issue = parsed.error.issues[0];
	return err(
		`malformed message at ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`,
	);
}
