/** Calls the admin listener of a node; failures state whether the call may have had an effect. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';

/** The reason why a call has no valid answer. */
export type AdminFault = {
	/**
	 * `unreachable`: no connection was established, so the call had no effect.
	 * `lost`: the call was sent, but its answer is missing or invalid.
	 * `refused`: the node answered with an error.
	 */
	kind: 'unreachable' | 'lost' | 'refused';
	detail: string;
};

/** A call of the admin listener. */
export type AdminCall<Schema extends z.ZodType> = {
	method: 'GET' | 'POST';
	path: string;
	body?: unknown;
	/** The statuses of answers that match the schema. */
	statuses: readonly number[];
	schema: Schema;
};

/** A client for one node. */
export type AdminClient = {
	address: string;
	call<Schema extends z.ZodType>(
		call: AdminCall<Schema>,
	): Promise<Result<z.output<Schema>, AdminFault>>;
};

/** Address and credentials; the timeout is in milliseconds. */
export type AdminClientOptions = {
	address: string;
	secret?: string;
	timeout: number;
};

const errorAnswerSchema = z.object({error: z.string()});

/** Error codes of failures before the connection was established, so that nothing was sent. */
const unsentCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'ENOTFOUND',
	'EAI_AGAIN',
	'EINVAL',
	'ERR_INVALID_URL',
	'UND_ERR_CONNECT_TIMEOUT',
	'UND_ERR_INVALID_ARG',
]);

/** Creates a client. */
export function createAdminClient(options: AdminClientOptions): AdminClient {
	const {secret, timeout} = options;
	const address = options.address.includes('://')
		? options.address
		: `http://${options.address}`;
	return {
		address,
		async call(call) {
			const {method, path, body} = call;
			try {
				const answer = await request(new URL(path, address), {
					method,
					headers: {
						...(secret !== undefined && {authorization: `Bearer ${secret}`}),
						...(body !== undefined && {'content-type': 'application/json'}),
					},
					body: body === undefined ? null : Buffer.from(JSON.stringify(body)),
					headersTimeout: timeout,
					bodyTimeout: timeout,
				});
				const text = await answer.body.text();
				return readAnswer(answer.statusCode, text, call);
			} catch (error) {
				return err(describeFailure(error, address));
			}
		},
	};
}

function readAnswer<Schema extends z.ZodType>(
	status: number,
	text: string,
	{statuses, schema}: AdminCall<Schema>,
): Result<z.output<Schema>, AdminFault> {
	const value = parseJson(text);
	if (statuses.includes(status)) {
		const parsed = schema.safeParse(value);
		if (parsed.success) {
			return ok(parsed.data);
		}
	}

	const error = errorAnswerSchema.safeParse(value);
	if (error.success && status >= 400) {
		return err({kind: 'refused', detail: `${error.data.error} (${status})`});
	}

	return err({
		kind: 'lost',
		detail: `the answer can't be read; its status is ${status}`,
	});
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function describeFailure(error: unknown, address: string): AdminFault {
	const {code, message} = error as NodeJS.ErrnoException;
	const reason = code ?? message;
	return unsentCodes.has(code ?? '')
		? {kind: 'unreachable', detail: `no node answers at ${address}: ${reason}`}
		: {kind: 'lost', detail: `the answer of ${address} was lost: ${reason}`};
}
