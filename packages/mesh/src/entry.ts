/** Requests of the callers beside this node: finds the route of each and lets it pass. */
import type {CallerRequest, FinalAnswer} from './caller-request.js';
import {shortReturn} from './decisions/return-time.js';
import {
	createPassage,
	type PassageEnd,
	type PassageOptions,
} from './passage.js';
import type {RouteTable} from './route-table.js';

/** What an entry needs. */
export type EntryOptions = PassageOptions & {
	routes: () => RouteTable | undefined;
};

/** Takes requests of callers. */
export type Entry = {
	/** Answers exactly once, unless the caller leaves first; gives the way to say that it left. */
	handle(
		request: CallerRequest,
		answer: (final: FinalAnswer) => void,
	): () => void;
	/** Requests without a final answer. */
	open(): number;
};

/** Creates an entry. */
export function createEntry(options: EntryOptions): Entry {
	let open = 0;
	return {
		handle(request, answer) {
			open++;
			return handleRequest(options, request, {
				answer(final) {
					open--;
					answer(final);
				},
				onLeft() {
					open--;
				},
			});
		},
		open: () => open,
	};
}

function handleRequest(
	options: EntryOptions,
	request: CallerRequest,
	end: PassageEnd,
): () => void {
	const {clock, metrics} = options;
	const routes = options.routes();
	const route = routes?.find(request.host, pathOf(request.path));
	if (!routes || !route) {
		const reason = routes ? 'noRoute' : 'noConfiguration';
		metrics.requestEnded({
			route: '',
			outcome: 'refused',
			reason,
			duration: clock.now() - request.arrivedAt,
		});
		end.answer(
			routes
				? {kind: 'own', status: 404, reason}
				: {
						kind: 'own',
						status: 503,
						reason,
						retryAfter: shortReturn,
					},
		);
		return () => undefined;
	}

	return createPassage(options, request, route, end);
}

function pathOf(path: string): string {
	const query = path.indexOf('?');
	return query === -1 ? path : path.slice(0, query);
}
