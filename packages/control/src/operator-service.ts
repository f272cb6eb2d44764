/** The functions for operators: plan, confirm, status and targets. */
import {isDeepStrictEqual} from 'node:util';
import type {
	ConfirmAnswer,
	NodeStatus,
	Plan,
	PlanRequest,
	TargetRow,
} from '@egretspoke/protocol';
import type {Platform, PlatformError} from '@egretspoke/storage';
import type {Clock, Finding, Random} from '@egretspoke/shared';
import {err, ok, type Result} from 'neverthrow';
import {
	storePlan,
	readHead,
	readPlan,
	readPlanBody,
	readVersion,
} from './configuration-store.js';
import type {ConfigurationWatch} from './configuration-watch.js';
import {
	defaultConfiguration,
	readConfiguration,
	type Configuration,
	type ConfigurationBody,
} from './configuration.js';
import {confirmPlan, type HeadWrite} from './confirm.js';
import {readIntents} from './intent.js';
import type {MembershipService} from './membership-service.js';
import {isPresent} from './membership.js';
import {preparePlan} from './plan.js';

/** Why no plan was made. */
export type PlanFailure =
	| {kind: 'findings'; findings: Finding[]}
	/** The platform is unreachable; no plan was made. */
	| {kind: 'unavailable'; detail: string};

/** The functions for operators; the admin listener serves them over HTTP. */
export type OperatorService = {
	plan(request: PlanRequest): Promise<Result<Plan, PlanFailure>>;
	confirm(id: string): Promise<ConfirmAnswer | 'notFound'>;
	/** The status without the load, which the node adds. */
	status(): NodeStatus;
	targets(): TargetRow[];
};

/** Dependencies of the functions for operators. */
export type OperatorOptions = {
	platform: Platform;
	clock: Clock;
	random: Random;
	configuration: ConfigurationWatch;
	membership: MembershipService;
	headWrite?: HeadWrite;
};

/** Creates the functions for operators of one node. */
export function createOperatorService(
	options: OperatorOptions,
): OperatorService {
	const {platform, clock, random, configuration, membership} = options;
	const startedAt = clock.now();
	const secondsSince = (instant: number) =>
		Math.max(0, Math.round(clock.now() - instant)) / 1000;

	const heardSecondsAgo = (node: string, lastSeenAt: number) =>
		node === membership.self().node ? 0 : secondsSince(lastSeenAt);

	/**
	 * Puts the body in force that was read before the write, so that peers can fetch
	 * it from this node. Otherwise an outage of the platform right after the
	 * acceptance would delay the accepted version.
	 */
	const putInForce = async (
		version: number,
		body: ConfigurationBody | undefined,
	) => {
		if (body?.version === version) {
			configuration.offer(body, 'platform');
		} else {
			await configuration.readPlatform();
		}
	};

	return {
		async plan({author, file, document}) {
			const intents = readIntents({text: document, file});
			if (intents.isErr()) {
				return err({kind: 'findings', findings: intents.error});
			}

			const base = await readBase(platform);
			if (base.isErr()) {
				return err({kind: 'unavailable', detail: base.error.detail});
			}

			const createdAt = clock.date();
			const {plan, body} = preparePlan({
				id: createPlanId(createdAt, random),
				author,
				createdAt,
				intents: intents.value,
				base: base.value,
				targets: listKnownTargets(membership),
			});
			const stored = await storePlan(platform, plan, body);
			if (stored.isOk() || (await isStored(platform, plan))) {
				return ok(plan);
			}

			return err({kind: 'unavailable', detail: stored.error.detail});
		},
		async confirm(id) {
			const body = await readPlanBody(platform, id);
			const answer = await confirmPlan(id, options);
			if (answer !== 'notFound' && answer.result === 'accepted') {
				await putInForce(answer.version, body.unwrapOr(undefined));
			}

			return answer;
		},
		status() {
			const self = membership.self();
			const {version, checksum} = configuration.current();
			return {
				node: self.node,
				incarnation: self.incarnation,
				dataCentre: self.dataCentre,
				state: self.state,
				uptimeSeconds: secondsSince(startedAt),
				configuration: {version, checksum, source: configuration.source()},
				platform: configuration.platformState(),
				inForce: membership.entries().map(({member, lastSeenAt}) => ({
					node: member.node,
					dataCentre: member.dataCentre,
					version: member.configurationVersion,
					state: member.state,
					heardSecondsAgo: heardSecondsAgo(member.node, lastSeenAt),
				})),
			};
		},
		targets: () =>
			membership.entries().flatMap(({member, lastSeenAt}) =>
				member.target
					? [
							{
								...member.target,
								node: member.node,
								dataCentre: member.dataCentre,
								state: member.state,
								callerAddress: member.callerAddress,
								configurationVersion: member.configurationVersion,
								heardSecondsAgo: heardSecondsAgo(member.node, lastSeenAt),
							},
						]
					: [],
			),
	};
}

/** Reads the accepted configuration from the platform; it may be newer than the node's. */
async function readBase(
	platform: Platform,
): Promise<Result<Configuration, PlatformError>> {
	const head = await readHead(platform);
	if (head.isErr()) {
		return err(head.error);
	}

	const version = head.value.value?.version;
	if (version === undefined) {
		return ok(defaultConfiguration);
	}

	const body = await readVersion(platform, version);
	return body.andThen((found) =>
		found
			? readConfiguration(found).mapErr((fault) =>
					describeInvalidBody(version, fault),
				)
			: err(describeInvalidBody(version, 'missing')),
	);
}

function describeInvalidBody(version: number, fault: string): PlatformError {
	return {
		kind: 'unavailable',
		detail: `the body of version ${version} can't be used: ${fault}`,
	};
}

/**
 * Whether the plan was stored although the response to its write was lost; it has
 * no effect before its confirmation. Another node's plan with the same id does not
 * count.
 */
async function isStored(platform: Platform, plan: Plan): Promise<boolean> {
	const found = await readPlan(platform, plan.id);
	const stored = found.isOk() ? found.value.value?.plan : undefined;
	return stored !== undefined && isDeepStrictEqual(stored, plan);
}

function listKnownTargets(membership: MembershipService) {
	return membership
		.members()
		.filter((member) => isPresent(member))
		.flatMap(({node, target}) =>
			target ? [{node, service: target.service}] : [],
		);
}

/** Creates an id that sorts by time; the random part distinguishes plans of the same second. */
function createPlanId(createdAt: Date, random: Random): string {
	const stamp = createdAt.toISOString().replaceAll(/[-:]|\.\d+/gu, '');
	const suffix = random
		.below(2 ** 31 - 1)
		.toString(36)
		.padStart(6, '0');
	return `${stamp}-${suffix}`;
}
