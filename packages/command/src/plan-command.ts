/** `egretspoke plan`: shows what an intent would change. */
import {readTextFile} from '@egretspoke/shared';
import {
	findingsAnswerSchema,
	planSchema,
	type Plan,
	type PlanChange,
} from '@egretspoke/protocol';
import type {Command} from 'commander';
import {z} from 'zod';
import {
	addJsonOption,
	addNodeOptions,
	createNodeClient,
	printJson,
	refuseWithFindings,
	reportFault,
	type CommandHost,
	type NodeOptions,
} from './command-host.js';
import {exitCodes} from './exit-code.js';
import {withProgress} from './progress.js';
import {renderTable, type Column} from './table.js';
import type {Terminal} from './terminal.js';

type PlanOptions = NodeOptions & {author?: string};

const answerSchema = z.union([planSchema, findingsAnswerSchema]);

/** Adds the command. */
export function addPlanCommand(program: Command, host: CommandHost): void {
	const command = program
		.command('plan')
		.description('show what an intent would change; nothing takes effect yet')
		.argument('<file>', 'the intent, YAML or JSON')
		.option(
			'--author <name>',
			'the author of the plan; defaults to the user of this machine',
		)
		.addHelpText('after', '\nExample:\n  egretspoke plan orders.yaml');
	addJsonOption(addNodeOptions(command)).action(
		async (file: string, options: PlanOptions) =>
			makePlan(host, command, file, options),
	);
}

async function makePlan(
	host: CommandHost,
	command: Command,
	file: string,
	options: PlanOptions,
): Promise<void> {
	const document = readTextFile(file);
	if (document.isErr()) {
		refuseWithFindings(host, document.error, options);
		return;
	}

	const client = createNodeClient(host, options, command);
	const {terminal} = host;
	const author = options.author ?? terminal.environment.USER ?? 'unknown';
	const answer = await withProgress(
		host,
		'planning',
		client.call({
			method: 'POST',
			path: '/v1/plans',
			body: {author, file, document: document.value},
			statuses: [200, 422],
			schema: answerSchema,
		}),
	);
	if (answer.isErr()) {
		reportFault(host, answer.error);
	} else if ('findings' in answer.value) {
		refuseWithFindings(host, readFindings(answer.value.findings), options);
	} else {
		printPlan(terminal, answer.value, options);
		host.finish(exitCodes.done);
	}
}

function printPlan(
	terminal: Terminal,
	plan: Plan,
	{json}: {json?: boolean},
): void {
	if (json) {
		printJson(terminal, plan);
		return;
	}

	const {colour} = terminal;
	terminal.write(`plan ${plan.id} against version ${plan.baseVersion}\n`);
	terminal.write(
		plan.changes.length === 0
			? 'nothing would change\n'
			: renderTable(plan.changes, columns, colour),
	);
	for (const warning of plan.warnings) {
		terminal.write(`${colour.yellow('warning')}: ${warning}\n`);
	}

	terminal.write(`to accept it: egretspoke confirm ${plan.id}\n`);
}

const columns: Array<Column<PlanChange>> = [
	{heading: 'SERVICE', cell: ({service}) => service},
	{heading: 'KEY', cell: ({path}) => path},
	{heading: 'BEFORE', cell: ({before}) => before ?? '-'},
	{heading: 'AFTER', cell: ({after}) => after ?? '-'},
	{heading: 'EFFECT', cell: ({effect}) => effect},
];

type AnsweredFinding = z.output<
	typeof findingsAnswerSchema
>['findings'][number];

/** Converts the findings of an answer, omitting properties that are undefined. */
function readFindings(findings: AnsweredFinding[]) {
	return findings.map(({place, path, message, advice}) => ({
		path,
		message,
		...(place && {place}),
		...(advice !== undefined && {advice}),
	}));
}
