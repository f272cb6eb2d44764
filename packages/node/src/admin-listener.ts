/**
 * The HTTP listener for operators and the metrics collector. The calls and their
 * answers are defined in the admin module of `@egretspoke/protocol`.
 *
 * Without the token, any process that reaches the port could make a target
 * leave, which shows as a `leaving` event that no operator requested.
 */
import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {once} from 'node:events';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {
	planRequestSchema,
	type ConfirmAnswer,
	type Explanation,
	type FindingsAnswer,
	type NodeStatus,
	type Plan,
	type PlanRequest,
	type TargetRow,
} from '@egretspoke/protocol';
import {
	guardServer,
	runDetached,
	shortRequestLimits,
	type ConnectionBudget,
} from '@egretspoke/shared';
import {readBody} from './request-body.js';
import {listen, type OnListenerError} from './web-socket-transport.js';

/** The result of a plan request. */
export type PlanResult =
	| {kind: 'planned'; plan: Plan}
	| {kind: 'findings'; findings: FindingsAnswer['findings']}
	| {kind: 'unavailable'; detail: string};

/** The services that the listener calls. */
export type AdminServices = {
	plan(request: PlanRequest): Promise<PlanResult>;
	/** Undefined when no such plan is known. */
	confirm(plan: string): Promise<ConfirmAnswer | undefined>;
	status(): NodeStatus;
	targets(): TargetRow[];
	explain(request: string): Explanation | undefined;
	leave(): void;
	metrics(): Promise<string>;
};

/** Options of the listener. */
export type AdminListenerOptions = {
	services: AdminServices;
	/** The bearer token; without one only the address protects the listener. */
	secret?: string;
	/** The largest document in bytes. */
	bodyLimit: number;
	/** Bounds what the connections of all listeners hold. */
	connectionBudget: ConnectionBudget;
	onMalformed: (fault: string) => void;
	onListenerError?: OnListenerError;
	/** Called when a call could not be answered. */
	onFailure?: (error: unknown) => void;
};

type AdminAnswer = {status: number; body: unknown};

type Route = {
	method: string;
	path: RegExp;
	handle(
		services: AdminServices,
		parameter: string,
		body: Uint8Array,
	): Promise<AdminAnswer> | AdminAnswer;
};

const confirmStatuses: Record<ConfirmAnswer['result'], number> = {
	accepted: 200,
	conflict: 409,
	unavailable: 503,
	unknown: 503,
};

const routes: Route[] = [
	{
		method: 'POST',
		path: /^\/v1\/plans$/u,
		handle: async (services, _parameter, body) => plan(services, body),
	},
	{
		method: 'POST',
		path: /^\/v1\/plans\/(?<parameter>[^/]+)\/confirm$/u,
		async handle(services, parameter) {
			const answer = await services.confirm(parameter);
			return answer
				? {status: confirmStatuses[answer.result], body: answer}
				: notFound(`no plan ${parameter} is known`);
		},
	},
	{
		method: 'GET',
		path: /^\/v1\/status$/u,
		handle: (services) => ({status: 200, body: services.status()}),
	},
	{
		method: 'GET',
		path: /^\/v1\/targets$/u,
		handle: (services) => ({status: 200, body: services.targets()}),
	},
	{
		method: 'GET',
		path: /^\/v1\/explain\/(?<parameter>[^/]+)$/u,
		handle(services, parameter) {
			const explanation = services.explain(parameter);
			return explanation
				? {status: 200, body: explanation}
				: notFound(`this node remembers no decision about ${parameter}`);
		},
	},
	{
		method: 'POST',
		path: /^\/v1\/leave$/u,
		handle(services) {
			services.leave();
			return {status: 202, body: {result: 'leaving'}};
		},
	},
	{
		method: 'GET',
		path: /^\/metrics$/u,
		handle: async (services) => ({status: 200, body: await services.metrics()}),
	},
];

/** Timeout in milliseconds for a whole admin request to arrive. */
const requestTimeoutMs = 10_000;

/** Creates the listener; nothing listens until `listen`. */
export function createAdminListener(options: AdminListenerOptions) {
	const server = createServer(
		{requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs},
		(request, response) => {
			void runDetached(serve(request, response, options), (error) => {
				response.destroy();
				options.onFailure?.(error);
			});
		},
	);
	guardServer(server, {
		budget: options.connectionBudget,
		limits: {...shortRequestLimits, bodyBytes: options.bodyLimit},
	});
	server.on('clientError', (_error, socket) => {
		options.onMalformed('admin');
		socket.destroy();
	});
	return {
		listen: async (host: string, port: number) =>
			listen(server, host, port, options.onListenerError),
		close: async () => closeServer(server),
	};
}

/** Closes a server and every connection to it. */
async function closeServer(server: Server): Promise<void> {
	const closed = server.listening ? once(server, 'close') : undefined;
	server.close();
	server.closeAllConnections();
	await closed;
}

async function serve(
	request: IncomingMessage,
	response: ServerResponse,
	options: AdminListenerOptions,
): Promise<void> {
	const {status, body} = await answer(request, options);
	const isText = typeof body === 'string';
	const content = Buffer.from(isText ? body : JSON.stringify(body));
	response.writeHead(status, {
		'content-type': isText
			? 'text/plain; version=0.0.4; charset=utf-8'
			: 'application/json',
		'content-length': content.length,
	});
	response.end(content);
}

async function answer(
	request: IncomingMessage,
	options: AdminListenerOptions,
): Promise<AdminAnswer> {
	if (!isAllowed(request.headers.authorization, options.secret)) {
		options.onMalformed('unauthorized');
		return {
			status: 401,
			body: {error: 'the operator secret is missing or wrong'},
		};
	}

	const [path = ''] = (request.url ?? '').split('?', 1);
	const found = routes.find(
		(route) => route.method === request.method && route.path.test(path),
	);
	if (!found) {
		return notFound(`${request.method ?? ''} ${path} is no admin call`);
	}

	const body = await readBody(request, options.bodyLimit);
	if (body.isErr()) {
		options.onMalformed('admin');
		return {
			status: 413,
			body: {error: 'the document is too large or cut short'},
		};
	}

	const parameter = decodeParameter(found.path.exec(path)?.groups?.parameter);
	if (parameter === undefined) {
		return notFound(`${path} is no admin call`);
	}

	try {
		return await found.handle(options.services, parameter, body.value);
	} catch (error) {
		return {status: 500, body: {error: String(error)}};
	}
}

type PlanAnswers = {
	[Kind in PlanResult['kind']]: (
		result: Extract<PlanResult, {kind: Kind}>,
	) => AdminAnswer;
};

const planAnswers: PlanAnswers = {
	planned: (result) => ({status: 200, body: result.plan}),
	findings: ({findings}) => ({status: 422, body: {findings}}),
	unavailable: ({detail}) => ({status: 503, body: {error: detail}}),
};

async function plan(
	services: AdminServices,
	body: Uint8Array,
): Promise<AdminAnswer> {
	const request = planRequestSchema.safeParse(parseJson(body));
	if (!request.success) {
		const findings = request.error.issues.map((issue) => ({
			path: issue.path.join('.'),
			message: issue.message,
		}));
		return {status: 422, body: {findings}};
	}

	const result = await services.plan(request.data);
	const write = planAnswers[result.kind] as (result: PlanResult) => AdminAnswer;
	return write(result);
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(body).toString('utf8'));
	} catch {
		return undefined;
	}
}

/** Undefined for a text that isn't percent-encoded according to RFC 3986. */
function decodeParameter(text = ''): string | undefined {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
}

function isAllowed(
	authorization: string | undefined,
	secret: string | undefined,
): boolean {
	if (secret === undefined) {
		return true;
	}

	const given = Buffer.from(authorization ?? '');
	const expected = Buffer.from(`Bearer ${secret}`);
	return given.length === expected.length && timingSafeEqual(given, expected);
}

function notFound(error: string): AdminAnswer {
	return {status: 404, body: {error}};
}
