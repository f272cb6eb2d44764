/** Implements the services of the admin listener with control and the core. */
import type {Control} from '@egretspoke/control';
import type {EventFields, EventName} from '@egretspoke/observability';
import type {ConfirmAnswer} from '@egretspoke/protocol';
import type {Supervisor} from '@egretspoke/shared';
import type {AdminServices} from './admin-listener.js';
import type {NodeCore} from './node-core.js';
import type {NodeInstruments} from './node-instruments.js';

/** Dependencies of the services. */
export type AdminServicesContext = {
	node: string;
	control: Control;
	core: NodeCore;
	instruments: NodeInstruments;
	supervisor: Pick<Supervisor, 'failing'>;
};

type ConfirmEvents = {
	[Result in ConfirmAnswer['result']]: (
		answer: Extract<ConfirmAnswer, {result: Result}>,
	) => [EventName, EventFields];
};

const confirmEvents: ConfirmEvents = {
	accepted: ({plan, version}) => ['planConfirmed', {details: {plan, version}}],
	conflict: ({plan, baseVersion, currentVersion, byPlan}) => [
		'planConflict',
		{
			details: {
				plan,
				detail: `based on version ${baseVersion}, now ${currentVersion} by plan ${byPlan}`,
			},
		},
	],
	unavailable: ({plan, detail}) => ['planConflict', {details: {plan, detail}}],
	unknown: ({plan, detail}) => ['planUnknown', {details: {plan, detail}}],
};

/** Creates the services of one node. */
export function createAdminServices({
	node,
	control,
	core,
	instruments,
	supervisor,
}: AdminServicesContext): AdminServices {
	const {log, memory, metrics} = instruments;
	return {
		async plan(request) {
			const result = await control.plan(request);
			return result.match(
				(plan) => {
					const {id, author, baseVersion} = plan;
					const details = {plan: id, author, version: baseVersion};
					log.record('planMade', {details});
					return {kind: 'planned', plan} as const;
				},
				(failure) => failure,
			);
		},
		async confirm(plan) {
			const answer = await control.confirm(plan);
			if (answer === 'notFound') {
				return undefined;
			}

			const describe = confirmEvents[answer.result] as (
				answer: ConfirmAnswer,
			) => [EventName, EventFields];
			log.record(...describe(answer));
			return answer;
		},
		status() {
			const load = core.ingress()?.report();
			const failing = supervisor.failing();
			return {
				...control.status(),
				...(failing.length > 0 && {failing}),
				...(load && {load}),
			};
		},
		targets: () => control.targets(),
		explain(request) {
			const decisions = memory.explain(request);
			return decisions.length === 0 ? undefined : {request, node, decisions};
		},
		leave() {
			control.leave();
			core.leave();
		},
		metrics: async () => metrics.render(),
	};
}
