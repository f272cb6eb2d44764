/** `egretspoke validate`: reports all faults of a file, without calling a node. */
import {readIntents} from '@egretspoke/control';
import {readDocument, readTextFile, type Finding} from '@egretspoke/shared';
import {nodeSettingsSchema, parseNodeSettings} from '@egretspoke/node';
import {Option, type Command} from 'commander';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {
	addJsonOption,
	printJson,
	refuseWithFindings,
	type CommandHost,
} from './command-host.js';
import {exitCodes} from './exit-code.js';

type Reader = {
	/** The keys that identify a file of this kind. */
	keys: readonly string[];
	read(text: string, file: string): Result<unknown, Finding[]>;
};

const readers = {
	settings: {
		keys: Object.keys(nodeSettingsSchema.shape),
		read: parseNodeSettings,
	},
	intent: {
		keys: [
			'service',
			'deadline',
			'attempts',
			'requests',
			'calls',
			'targets',
			'removed',
		],
		read: (text, file) => readIntents({text, file}),
	},
} as const satisfies Record<string, Reader>;

type Kind = keyof typeof readers;
type ValidateOptions = {kind?: Kind; json?: boolean};

const kinds = Object.keys(readers) as Kind[];

/** Adds the command. */
export function addValidateCommand(program: Command, host: CommandHost): void {
	const command = program
		.command('validate')
		.description("report every fault of a node's settings or of an intent")
		.argument('<file>', 'the file, YAML or JSON')
		.addOption(
			new Option(
				'--kind <kind>',
				'the kind of the file; detected from its keys by default',
			).choices(kinds),
		)
		.addHelpText('after', '\nExample:\n  egretspoke validate node.yaml');
	addJsonOption(command).action((file: string, options: ValidateOptions) => {
		validateFile(host, file, options);
	});
}

function validateFile(
	host: CommandHost,
	file: string,
	options: ValidateOptions,
): void {
	const {terminal} = host;
	const text = readTextFile(file);
	if (text.isErr()) {
		refuseWithFindings(host, text.error, options);
		return;
	}

	const kind = options.kind ?? detectKind(text.value, file);
	const result = readers[kind].read(text.value, file);
	if (result.isErr()) {
		refuseWithFindings(host, result.error, options);
		return;
	}

	if (options.json) {
		printJson(terminal, {kind, findings: []});
	} else {
		terminal.write(`${file}: valid, read as ${kind}\n`);
	}

	host.finish(exitCodes.done);
}

/** Returns the kind that matches most of the top-level keys of the file, or of the intents in its list. */
function detectKind(text: string, file: string): Kind {
	const map = z.record(z.string(), z.unknown());
	const schema = z.union([map, z.array(map)]);
	const topLevelKeys = readDocument({text, file, schema}).map((value) =>
		[value].flat().flatMap((each) => Object.keys(each)),
	);
	const countKnown = (kind: Kind) =>
		topLevelKeys
			.unwrapOr([])
			.filter((key) => (readers[kind].keys as readonly string[]).includes(key))
			.length;
	return kinds.toSorted(
		(left, right) => countKnown(right) - countKnown(left),
	)[0]!;
}
