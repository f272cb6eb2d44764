/** Messages to bytes and back, by msgpackr; what comes in is checked by its schema. */
import {Packr} from 'msgpackr';
import {err, ok, type Result} from 'neverthrow';
import {messageSchema, type Message} from './message.js';

const packr = new Packr({useRecords: false, moreTypes: false});

/** Encodes one message. The buffer is the caller's to keep. */
export function encodeMessage(message: Message): Uint8Array {
	return packr.pack(message);
}

/** Decodes one message; the error says what is malformed, for the log. */
export function decodeMessage(data: Uint8Array): Result<Message, string> {
	let value: unknown;
	try {
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
