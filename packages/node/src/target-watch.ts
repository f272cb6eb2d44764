/** Detects crashes of the target and records the requests that were running at the time. */
import type {CallRequest} from '@egretspoke/protocol';
import {createCrashWatch, identifyRequest} from '@egretspoke/quarantine';
import type {IngressContext} from './ingress.js';
import {toRequestParts} from './node-quarantine.js';
import type {TargetResult} from './target-client.js';

/** Crash detection for one target. */
export type TargetWatch = {
	/** Resolves with the result. A lost result is held until it is known whether the target crashed. */
	run(
		request: CallRequest,
		signal: AbortSignal,
		send: () => Promise<TargetResult>,
	): Promise<TargetResult>;
};

type Run = {request: CallRequest; startedAt: number};

/** Creates the crash detection of an idle target. */
export function createTargetWatch(
	{
		clock,
		quarantine,
		reporter,
		target,
	}: Pick<IngressContext, 'clock' | 'quarantine' | 'reporter' | 'target'>,
	isLeaving: () => boolean,
): TargetWatch {
	const watch = createCrashWatch<Run>({
		clock,
		isLeaving,
		async probe(onResult) {
			onResult(await target.isListening());
		},
		onCrash(runs, lost) {
			reporter.recordEvent({name: 'targetCrashed', requests: lost});
			const now = clock.now();
			const crashed = runs.map(({request, startedAt}) => ({
				identity: identifyRequest(toRequestParts(request)),
				startedAt,
				crashes: 0,
			}));
			quarantine.recordCrash(crashed);
			for (const [index, {request, startedAt}] of runs.entries()) {
				reporter.recordDecision({
					name: 'crashedUnder',
					request: request.id,
					reason: 'targetCrashed',
					details: {
						identity: crashed[index]!.identity,
						ran: Math.round(now - startedAt),
						crashes: quarantine.lookUp(request)?.crashes ?? 0,
					},
				});
			}
		},
	});

	return {
		async run(request, signal, send) {
			const run = {request, startedAt: clock.now()};
			const ordinal = watch.started();
			const result = await send();
			const isLost = result.kind === 'lost' || result.kind === 'cut';
			if (isLost && !signal.aborted) {
				await new Promise((resolve) => {
					watch.lost(run, ordinal, resolve);
				});
				return result;
			}

			watch.ended(ordinal);
			if (result.kind === 'unreachable') {
				watch.refused();
			} else if (result.kind === 'answer') {
				quarantine.recordAnswer(request);
			}

			return result;
		},
	};
}
