import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {
	listEvents,
	metricDefinitions,
	renderCataloguePages,
} from '../src/index.js';

const readPage = (file: string) =>
	readFileSync(new URL(`../../../docs/${file}`, import.meta.url), 'utf8');

describe('catalogue pages', () => {
	it('list every event with its number', () => {
		const page = readPage('EVENTS.md');
		for (const {code, name} of listEvents()) {
			expect(page).to.contain(`| ${code} | \`${name}\` |`);
		}
	});

	it('list every metric', () => {
		const page = readPage('METRICS.md');
		for (const {name} of Object.values(metricDefinitions)) {
			expect(page).to.contain(`| \`${name}\` |`);
		}
	});

	it('match the tables; run `npm run --silent docs` when this fails', () => {
		for (const {file, text} of renderCataloguePages()) {
			expect(readPage(file)).to.equal(text);
		}
	});

	it('contain every metric and event that OPERATING.md mentions', () => {
		const page = readPage('OPERATING.md');
		const names = Object.values(metricDefinitions).map(({name}) => name);
		for (const [name] of page.matchAll(/(?:egretspoke|process)_\w+/gu)) {
			expect(names).to.include(name);
		}

		const codes = listEvents().map(({code}) => String(code));
		for (const [code] of page.matchAll(/\b[12]\d{3}\b(?! \*)/gu)) {
			if (code !== '1024') {
				expect(codes).to.include(code);
			}
		}
	});

	it('use each number only once', () => {
		const codes = listEvents().map(({code}) => code);
		expect(new Set(codes).size).to.equal(codes.length);
	});
});
