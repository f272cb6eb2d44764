/** Writes the generated pages into docs/; run by `npm run --silent docs`. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {renderCataloguePages} from './catalogue-pages.js';

const docs = new URL('../../../docs/', import.meta.url);

mkdirSync(docs, {recursive: true});
for (const {file, text} of renderCataloguePages()) {
	writeFileSync(new URL(file, docs), text);
}
