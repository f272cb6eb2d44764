/** Reads the values of the gauges of a node when they are collected. */
import type {Control} from '@egretspoke/control';
import type {NodeReadings} from '@egretspoke/observability';
import type {VersionReadings} from '@egretspoke/shared';
import type {NodeCore} from './node-core.js';

/** The sources of the gauges; they are created one after another at the start. */
export type GaugeSources = {control?: Control; core?: NodeCore};

/** Reads the sources; one that does not exist yet counts as empty. */
export function readGauges(
	{control, core}: GaugeSources,
	logLinesDropped: number,
): NodeReadings {
	return {
		...readControl(control),
		...readCore(core),
		...readTarget(control, core),
		logLinesDropped,
	};
}

/** The readings before control has started. */
const noVersions: VersionReadings = {
	source: undefined,
	age: undefined,
	delay: 0,
	newestReported: 0,
	silence: {},
};

function readControl(control: Control | undefined) {
	const members: Record<string, number> = {};
	for (const {state} of control?.membership.members() ?? []) {
		members[state] = (members[state] ?? 0) + 1;
	}

	return {
		members,
		configurationVersion: control?.configuration.current().version ?? 0,
		versions: control?.configuration.versions() ?? noVersions,
		isPlatformReachable: control?.configuration.platformState() === 'reachable',
	};
}

function readCore(core: NodeCore | undefined) {
	const ledger = core?.ledger.size();
	return {
		isLeaving: core?.ingress()?.isLeaving() ?? false,
		openRequests: core?.entry.openRequests() ?? 0,
		peersConnected: core?.peers.count() ?? 0,
		ledgerKeys: ledger?.keys ?? 0,
		ledgerBytes: ledger?.answerBytes ?? 0,
	};
}

function readTarget(
	control: Control | undefined,
	core: NodeCore | undefined,
): Pick<NodeReadings, 'target'> {
	const load = core?.ingress()?.report();
	const service = control?.membership.self().target?.service;
	return load && service !== undefined ? {target: {service, ...load}} : {};
}
