import {readFileSync} from 'node:fs';
import {formatFinding} from '@egretspoke/shared';
import {expect} from 'chai';
import type {z} from 'zod';
import {nodeSettingsSchema, parseNodeSettings} from '../src/index.js';

const page = readFileSync(
	new URL('../../../docs/SETTINGS.md', import.meta.url),
	'utf8',
);

type Schema = z.core.$ZodTypes;

/** Every key of the schema that holds no further keys, by its path. */
const listKeys = (schema: Schema, path: string): string[] => {
	const {def} = schema._zod;
	if ('innerType' in def) {
		return listKeys(def.innerType as Schema, path);
	}

	if (def.type !== 'object') {
		return [path];
	}

	return Object.entries(def.shape).flatMap(([key, inner]) =>
		listKeys(inner as Schema, path === '' ? key : `${path}.${key}`),
	);
};

describe('the page of settings', () => {
	it('has exactly one row for each key and no others', () => {
		const rows = [...page.matchAll(/^\| `(?<key>[\w.]+)` \|/gmu)];
		expect(rows.map(({groups}) => groups?.key)).to.deep.equal(
			listKeys(nodeSettingsSchema, ''),
		);
	});

	it('shows examples without findings', () => {
		const examples = [...page.matchAll(/```yaml\n(?<text>.*?)```/gsu)];
		expect(examples).to.have.length(2);
		for (const {groups} of examples) {
			const findings = parseNodeSettings(groups!.text!, 'page').match(
				() => [],
				(all) => all.map((finding) => formatFinding(finding)),
			);
			expect(findings).to.deep.equal([]);
		}
	});
});
