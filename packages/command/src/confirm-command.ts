/** `egretspoke confirm`: accepts a plan and shows at which nodes it is in force. */
import {
	confirmAnswerSchema,
	nodeStatusSchema,
	type ConfirmAnswer,
	type NodeStatus,
} from '@egretspoke/protocol';
import {sleep, type Clock} from '@egretspoke/shared';
import type {Command} from 'commander';
import type {AdminClient} from './admin-client.js';
import {
	addJsonOption,
	addNodeOptions,
	createNodeClient,
	printJson,
	readDurationArgument,
	reportFault,
	type CommandHost,
	type NodeOptions,
} from './command-host.js';
import {exitCodes, type ExitCode} from './exit-code.js';
import {withProgress} from './progress.js';

type ConfirmOptions = NodeOptions & {wait: number};
type Accepted = Extract<ConfirmAnswer, {result: 'accepted'}>;
type InForce = NodeStatus['inForce'];

const defaultWait = 5000;
const pollInterval = 250;

/** Adds the command. */
export function addConfirmCommand(program: Command, host: CommandHost): void {
	const command = program
		.command('confirm')
		.description('accept a plan; repeating it is safe')
		.argument('<plan>', 'the id that `egretspoke plan` printed')
		.option(
			'--wait <duration>',
			'how long to wait until it is in force everywhere',
			readDurationArgument,
			defaultWait,
		)
		.addHelpText('after', '\nExample:\n  egretspoke confirm 7c1f0a --wait 10s');
	addJsonOption(addNodeOptions(command)).action(
		async (plan: string, options: ConfirmOptions) =>
			confirmPlan(host, command, plan, options),
	);
}

async function confirmPlan(
	host: CommandHost,
	command: Command,
	plan: string,
	options: ConfirmOptions,
): Promise<void> {
	const client = createNodeClient(host, options, command);
	const answer = await withProgress(
		host,
		'confirming',
		client.call({
			method: 'POST',
			path: `/v1/plans/${encodeURIComponent(plan)}/confirm`,
			statuses: [200, 409, 503],
			schema: confirmAnswerSchema,
		}),
	);
	if (answer.isErr()) {
		reportFault(
			host,
			answer.error,
			`it may have been accepted; to settle it: egretspoke confirm ${plan}`,
		);
		return;
	}

	const inForce =
		answer.value.result === 'accepted' && options.wait > 0
			? await withProgress(
					host,
					'waiting until it is in force everywhere',
					waitUntilInForce(
						host.clock,
						client,
						answer.value.version,
						options.wait,
					),
				)
			: [];
	printAnswer(host, answer.value, inForce, options);
}

/** Polls until all listed nodes have the version or the wait, in milliseconds, is over. */
async function waitUntilInForce(
	clock: Clock,
	client: AdminClient,
	version: number,
	wait: number,
): Promise<InForce> {
	const end = clock.now() + wait;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- one poll after another.
		const status = await client.call({
			method: 'GET',
			path: '/v1/status',
			statuses: [200],
			schema: nodeStatusSchema,
		});
		const inForce = status.isOk() ? status.value.inForce : [];
		const isInForceEverywhere =
			inForce.length > 0 && inForce.every((row) => row.version >= version);
		if (isInForceEverywhere || clock.now() >= end) {
			return inForce;
		}

		// eslint-disable-next-line no-await-in-loop -- the pause between two polls.
		await sleep(clock, pollInterval);
	}
}

const answerCodes: Record<ConfirmAnswer['result'], ExitCode> = {
	accepted: exitCodes.done,
	conflict: exitCodes.refused,
	unavailable: exitCodes.refused,
	unknown: exitCodes.unknown,
};

type Describers = {
	[Result in ConfirmAnswer['result']]: (
		answer: Extract<ConfirmAnswer, {result: Result}>,
		inForce: InForce,
	) => string[];
};

const describers: Describers = {
	accepted: (answer, inForce) => [
		`plan ${answer.plan} is accepted as version ${answer.version}${answer.repeated ? ', which was accepted before' : ''}`,
		...describeInForce(answer, inForce),
	],
	conflict: ({plan, baseVersion, currentVersion, byPlan, byAuthor}) => [
		`plan ${plan} is not accepted: it is based on version ${baseVersion}, now ${currentVersion} by plan ${byPlan} of ${byAuthor}`,
		'plan again to see what your intent changes now',
	],
	unavailable: ({plan, detail}) => [
		`plan ${plan} is not accepted, nothing was written: ${detail}`,
	],
	unknown: ({plan, detail, settle}) => [
		`plan ${plan} may have been accepted: ${detail}`,
		`to settle it: ${settle}`,
	],
};

function printAnswer(
	host: CommandHost,
	answer: ConfirmAnswer,
	inForce: InForce,
	{json}: {json?: boolean},
): void {
	const {terminal, finish} = host;
	if (json) {
		printJson(terminal, {...answer, inForce});
	} else {
		const describe = describers[answer.result] as (
			answer: ConfirmAnswer,
			inForce: InForce,
		) => string[];
		const text = `${describe(answer, inForce).join('\n')}\n`;
		if (answer.result === 'accepted') {
			terminal.write(text);
		} else {
			terminal.writeError(text);
		}
	}

	finish(answerCodes[answer.result]);
}

function describeInForce({version}: Accepted, inForce: InForce): string[] {
	if (inForce.length === 0) {
		return [];
	}

	const missing = inForce.filter((row) => row.version < version);
	return [
		`in force at ${inForce.length - missing.length} of ${inForce.length} nodes`,
		...missing.map(
			({node, dataCentre, state, heardSecondsAgo, ...row}) =>
				`not yet at ${node} in ${dataCentre}: version ${row.version}, ${state}, last seen ${Math.round(heardSecondsAgo)} s ago`,
		),
	];
}
