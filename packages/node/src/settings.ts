/**
 * The settings of a node, written in YAML. This schema is the only definition of
 * the keys; the types, the findings and docs/SETTINGS.md follow from it.
 */
import {
	addressSchema,
	createDurationSchema,
	readDocument,
	readTextFile,
	remoteAddressSchema,
	sizeSchema,
	type Finding,
} from '@egretspoke/shared';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {checkNodeSettings} from './settings-check.js';

const second = 1000;
const minute = 60 * second;
const kilobyte = 1024;
const megabyte = 1024 * kilobyte;
const minSecretLength = 16;

/** Default addresses of the listeners: loopback, on three consecutive ports. */
export const defaultListeners = {
	caller: '127.0.0.1:7400',
	peer: '127.0.0.1:7401',
	admin: '127.0.0.1:7402',
} as const;

const name = z
	.string()
	.regex(
		/^[A-Za-z\d][A-Za-z\d._-]{0,99}$/u,
		'expected letters, digits, dots, hyphens or underscores, 100 at most, a letter or digit first',
	);
const secret = z.string().min(minSecretLength);
const count = z.int().min(1);
const duration = createDurationSchema({min: '1ms', max: '24h'});
const webAddress = z
	.url({
		protocol: /^https?$/u,
		error: 'expected an http or https address, such as http://10.0.0.5:7500',
	})
	.refine((text) => !isWebAddress(text) || isOrigin(text), {
		error: 'expected no path and a port from 1 to 65535',
	});
const headerText = z
	.string()
	.regex(/^[\u0021-\u007E]+$/u, 'expected visible ASCII characters');

const listenersSchema = z.strictObject({
	/** Requests of callers and of the local target. */
	caller: addressSchema.default(defaultListeners.caller),
	/** Other nodes. */
	peer: addressSchema.default(defaultListeners.peer),
	/** The operator program and the collector of metrics. */
	admin: addressSchema.default(defaultListeners.admin),
});

const advertiseSchema = z.strictObject({
	/** The address advertised to callers, when it isn't the listener's own. */
	caller: remoteAddressSchema.optional(),
	/** The address advertised to other nodes, when it isn't the listener's own. */
	peer: remoteAddressSchema.optional(),
});

const platformSchema = z.strictObject({
	address: webAddress,
	/** Timeout of a call to the platform, after which its result is unknown. */
	timeout: duration.default(2 * second),
	/** Sent to the platform as bearer token. */
	credential: headerText.optional(),
});

const announcementSchema = z.strictObject({
	service: name,
	/** Requests that the target runs at the same time. */
	slots: count,
	/** Connections that the target accepts. */
	connections: count,
});

const targetSchema = z.strictObject({
	/** The address on which the local target listens. */
	address: remoteAddressSchema,
	/** For a target that can't announce itself; the node announces it then. */
	announcement: announcementSchema.optional(),
});

const secretsSchema = z.strictObject({
	/** Signs the handshake between nodes; the same on every node. */
	peer: secret.optional(),
	/** The bearer token of the admin listener. */
	operator: secret.optional(),
});

const limitsSchema = z.strictObject({
	/** The largest body of a request or an answer. */
	body: sizeSchema.default(8 * megabyte),
	/** All headers of one request together. */
	headers: sizeSchema.default(16 * kilobyte),
	/** The bodies of callers' requests that the node holds at the same time. */
	bufferedBodies: sizeSchema.default(128 * megabyte),
	/** Connections that all listeners hold open together. */
	connections: count.default(4096),
	/** What open connections take beside bodies: heads, requests and unread answers. */
	connectionMemory: sizeSchema.default(64 * megabyte),
	/** A caller that takes longer to send its request is cut off. */
	slowSender: duration.default(10 * second),
	/** Idempotency keys that the node stores at the same time. */
	ledgerKeys: count.default(65_536),
	/** Recorded answers of those keys together. */
	ledgerBytes: sizeSchema.default(16 * megabyte),
	/** How long a key is stored at most, and when the request states no expiry. */
	keyLifetime: duration.default(2 * minute),
});

const logsSchema = z.strictObject({
	level: z
		.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent'])
		.default('info'),
	format: z.enum(['text', 'json']).default('text'),
	/** The share of requests whose decisions are logged, from 0 to 1. */
	sample: z.number().min(0).max(1).default(1),
});

const timingsSchema = z.strictObject({
	/** A node that was paused for longer announces itself again. */
	lease: duration.default(3 * second),
	/** The interval between two probes of a peer. */
	probe: duration.default(second),
	/** The interval between two reads of the accepted version, with jitter. */
	configurationRead: duration.default(2 * second),
	/** The maximum time for which a planned stop waits for requests in flight. */
	drain: duration.default(30 * second),
});

/** The whole document. */
export const nodeSettingsSchema = z.strictObject({
	/** The node's name; unique among all nodes. */
	node: name,
	region: name.default('default'),
	dataCentre: name,
	listeners: listenersSchema.prefault({}),
	advertise: advertiseSchema.prefault({}),
	platform: platformSchema,
	target: targetSchema.optional(),
	/** Peer listeners to try first; the others are read from the table. */
	peers: z.array(remoteAddressSchema).default([]),
	secrets: secretsSchema.prefault({}),
	limits: limitsSchema.prefault({}),
	logs: logsSchema.prefault({}),
	timings: timingsSchema.prefault({}),
});

/** Durations in milliseconds, sizes in bytes, addresses as `ip:port`. */
export type NodeSettings = z.output<typeof nodeSettingsSchema>;

/** Reads the settings from a file, with every finding in the order of the file. */
export function readNodeSettings(
	file: string,
): Result<NodeSettings, Finding[]> {
	return readTextFile(file).andThen((text) => parseNodeSettings(text, file));
}

/** Reads the settings from a text; findings name the given file. */
export function parseNodeSettings(
	text: string,
	file: string,
): Result<NodeSettings, Finding[]> {
	return readDocument({
		text,
		file,
		schema: nodeSettingsSchema,
		check: (value) => checkNodeSettings(value, defaultListeners),
	});
}

/** Any other text has a finding already. */
function isWebAddress(text: string): boolean {
	return URL.canParse(text) && /^https?:$/u.test(new URL(text).protocol);
}

/** The client of the platform throws on an address with more than an origin, and no request reaches port 0. */
function isOrigin(text: string): boolean {
	const {pathname, search, hash, port} = new URL(text);
	return pathname === '/' && search === '' && hash === '' && port !== '0';
}
