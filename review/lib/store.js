/* eslint-disable camelcase -- the names of the platform. */
/** Stand-in for the platform's store: versioned rows, conditional writes and the feed. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Starts a store at the address that holds the given desired state. */
export async function startStore(ip, desiredState) {
	const rows = new Map();
	const history = [];
	const waiting = new Set();
	const startedAt = performance.now();
	let version = 0;

	const idOf = ({table, part, key}) => JSON.stringify([table, part, key]);
	const now = () => `${Math.round(performance.now() - startedAt)}ms`;

	const apply = ({expected_revision: expected, put_rows: put, remove}) => {
		const isAllowed = expected.every(
			(row) => (rows.get(idOf(row))?.ver ?? 0) === row.ver,
		);
		if (!isAllowed) {
			return false;
		}

		version++;
		for (const row of put) {
			const stored = {...row, ver: version};
			rows.set(idOf(row), stored);
			history.push(stored);
		}

		for (const row of remove) {
			rows.delete(idOf(row));
			history.push({...row, ver: version, tombstone: true});
		}

		for (const wake of waiting) {
			wake();
		}

		return true;
	};

	const handlers = {
		'GET /rows-get'(query, _body, reply) {
			const limit = Math.min(500, Number(query.get('limit') ?? 500));
			const to = query.get('target');
			const found = [...rows.values()]
				.filter(
					({table, part, key}) =>
						table === query.get('table') &&
						part === (query.get('part') ?? '') &&
						key >= (query.get('from') ?? '') &&
						(to === null || key < to),
				)
				.sort((left, right) => (left.key < right.key ? -1 : 1));
			reply(200, {
				rows: found.slice(0, limit),
				more_pages: found.length > limit,
				ver: version,
				now: now(),
			});
		},
		'GET /rows-feed'(query, _body, reply, response) {
			const listChanges = () =>
				history.filter(
					({ver, table}) =>
						ver > Number(query.get('after')) && table === query.get('table'),
				);
			const finish = () => {
				clearTimeout(timer);
				waiting.delete(wake);
				reply(200, {rows: listChanges(), ver: version, now: now()});
			};

			const wake = () => {
				if (listChanges().length > 0) {
					finish();
				}
			};

			const timer = setTimeout(finish, Number(query.get('wait_ms')));
			waiting.add(wake);
			response.on('close', () => {
				clearTimeout(timer);
				waiting.delete(wake);
			});
			wake();
		},
		'POST /rows-tx'(_query, body, reply) {
			const transaction = JSON.parse(body);
			if (apply(transaction)) {
				reply(200, {ver: version, now: now()});
				return;
			}

			const current = transaction.expected_revision.flatMap(
				(row) => rows.get(idOf(row)) ?? [],
			);
			reply(412, {rows: current, ver: version, now: now()});
		},
	};

	/** `refuse`: how every call is refused, as long as it is set. */
	const faults = {refuse: undefined};
	const refusals = {
		busy(response) {
			response.writeHead(503).end();
		},
		many(response) {
			response.writeHead(429).end();
		},
		reset(response) {
			response.destroy();
		},
		silent() {
			// No response.
		},
	};
	const server = createServer(async (request, response) => {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		if (faults.refuse) {
			refusals[faults.refuse](response);
			return;
		}

		const reply = (status, body) => {
			setTimeout(() => {
				response
					.writeHead(status, {'content-type': 'application/json'})
					.end(JSON.stringify(body));
			}, 4);
		};

		const url = new URL(request.url, 'http://store');
		const handler = handlers[`${request.method} ${url.pathname}`];
		if (handler) {
			handler(
				url.searchParams,
				Buffer.concat(chunks).toString('utf8'),
				reply,
				response,
			);
		} else {
			reply(404, {});
		}
	});
	await new Promise((resolve) => {
		server.listen(0, ip, resolve);
	});

	const write = (state) => {
		apply({
			expected_revision: [],
			put_rows: [
				{
					table: 'op',
					part: '',
					key: 'config',
					value: Buffer.from(JSON.stringify(state)).toString('base64'),
				},
			],
			remove: [],
		});
	};

	write(desiredState);
	return {
		address: `${ip}:${server.address().port}`,
		faults,
		write,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
