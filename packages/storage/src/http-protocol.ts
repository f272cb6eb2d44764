/**
 * The wire format of the platform's HTTP interface, shared by the client and the
 * stand-in server.
 *
 * | request | responses |
 * | --- | --- |
 * | `GET /table/rows/<key>` | 200 `Row`, 404 |
 * | `GET /table/rows?prefix=<prefix>` | 200 `{rows: Row[]}` in key order |
 * | `POST /table/transactions` with `{writes: TableWrite[]}` | 200 `{rows: Row[]}`, 409 `{detail}` |
 * | `GET /objects/<name>` | 200 the body as text, 404 |
 * | `PUT /objects/<name>` with the body as text | 204 |
 *
 * Keys and names are percent-encoded. A credential is sent as a bearer token.
 */
import {z} from 'zod';

/**
 * The header by which the platform certifies that a failed request had no effect,
 * in a response 503 with `platform-effect: none`. After any other failure, the
 * effect of a write is unknown.
 */
export const effectHeader = 'platform-effect';

/** The only value of the effect header. */
export const noEffect = 'none';

/** A row of the table. */
export const rowSchema = z.object({
	key: z.string(),
	version: z.number().int().positive(),
	value: z.string(),
});

/** The response to a list or a transaction. */
export const rowsAnswerSchema = z.object({rows: z.array(rowSchema)});

/** The response 409 to a transaction whose condition does not hold. */
export const conflictAnswerSchema = z.object({detail: z.string()});

const condition = z.number().int().nonnegative().optional();

/** The body of a transaction. */
export const transactionSchema = z.object({
	writes: z.array(
		z.discriminatedUnion('kind', [
			z.object({
				kind: z.literal('put'),
				key: z.string().min(1),
				value: z.string(),
				ifVersion: condition,
			}),
			z.object({
				kind: z.literal('delete'),
				key: z.string().min(1),
				ifVersion: condition,
			}),
		]),
	),
});
