/**
 * Stand-in for a target: a number of slots, a service time, and calls to
 * downstream services through its node. It announces itself to its node and
 * counts the runs of each request for the tests.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {Agent, request as send} from 'undici';
import {headerNames} from '@egretspoke/protocol';
import {sleep, type Clock} from '@egretspoke/shared';

/** Options of the stand-in. */
export type TargetStandInOptions = {
	clock: Clock;
	service: string;
	slots: number;
	connections: number;
	/** Duration of each request without its calls, in milliseconds. */
	serviceTime: number;
	/** Services called sequentially for each request. */
	calls: string[];
	/** Address to listen on; port 0 selects a free port. */
	host: string;
	port: number;
};

/** A running stand-in. */
export type TargetStandIn = {
	/** `ip:port`. */
	address: string;
	/** Number of runs by request id. */
	runs: ReadonlyMap<string, number>;
	/** Announces itself to its node's caller listener, `ip:port`, and sends its downstream calls there. */
	announce(nodeAddress: string): Promise<void>;
	close(): Promise<void>;
};

/** The JSON body of an answer, for debugging. */
type StandInAnswer = {
	service: string;
	request: string;
	requestClass: string;
	millisecondsLeft: number;
	attemptsLeft: number;
	deeper: unknown[];
};

/** Starts a target; announce it separately once its node listens. */
export async function startTargetStandIn(
	options: TargetStandInOptions,
): Promise<TargetStandIn> {
	const agent = new Agent({connections: options.connections});
	const runs = new Map<string, number>();
	let running = 0;
	let node = '';
	const server = createServer((request, response) => {
		void serve(request, response);
	});

	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		const body = await readAll(request);
		const id = readHeader(request, headerNames.request);
		response.setHeader(headerNames.request, id);
		if (running >= options.slots) {
			response.writeHead(503, {
				[headerNames.shed]: 'not-run',
				'retry-after': '1',
			});
			response.end();
			return;
		}

		running++;
		runs.set(id, (runs.get(id) ?? 0) + 1);
		if (options.serviceTime > 0) {
			await sleep(options.clock, options.serviceTime);
		}

		const deeper = await callServices(agent, {...options, node}, request);
		running--;
		const isOk = deeper.every(({status}) => status < 400);
		response.writeHead(isOk ? 200 : 502, {'content-type': 'application/json'});
		const answer: StandInAnswer = {
			service: options.service,
			request: id,
			requestClass: readHeader(request, headerNames.requestClass),
			millisecondsLeft: Number(readHeader(request, headerNames.deadline)),
			attemptsLeft: Number(readHeader(request, headerNames.attempts)),
			deeper: deeper.map(({answer: callAnswer}) => callAnswer),
		};
		response.end(JSON.stringify({...answer, received: body.length}));
	};

	server.listen(options.port, options.host);
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' && address ? address.port : 0;
	return {
		address: `${options.host}:${port}`,
		runs,
		async announce(nodeAddress) {
			node = nodeAddress;
			const {service, slots, connections} = options;
			const answer = await send(
				`http://${nodeAddress}/.egretspoke/announcement`,
				{
					method: 'POST',
					dispatcher: agent,
					body: JSON.stringify({service, slots, connections}),
				},
			);
			await answer.body.dump();
			if (answer.statusCode !== 204) {
				throw new Error(`announcement refused: ${answer.statusCode}`);
			}
		},
		async close() {
			server.close();
			server.closeAllConnections();
			await agent.close();
		},
	};
}

async function callServices(
	agent: Agent,
	options: TargetStandInOptions & {node: string},
	request: IncomingMessage,
): Promise<Array<{status: number; answer: unknown}>> {
	const answers = [];
	for (const service of options.calls) {
		// eslint-disable-next-line no-await-in-loop -- calls are sequential.
		const answer = await send(`http://${options.node}/${service}`, {
			dispatcher: agent,
			headers: {
				[headerNames.service]: service,
				[headerNames.request]: readHeader(request, headerNames.request),
				[headerNames.caller]: options.service,
			},
		});
		// eslint-disable-next-line no-await-in-loop -- read before the next call.
		const body: unknown = await answer.body.json();
		answers.push({status: answer.statusCode, answer: body});
	}

	return answers;
}

function readHeader(request: IncomingMessage, name: string): string {
	const value = request.headers[name];
	return typeof value === 'string' ? value : '';
}

async function readAll(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks);
}
