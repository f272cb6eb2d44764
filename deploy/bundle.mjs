/**
 * Bundles the node program into one file. A start then reads one file instead
 * of about a hundred modules, and skips parts of libraries that the node never
 * uses; loading them would take most of the processor time of a start.
 */
import path from 'node:path';
import {build} from 'esbuild';

/** Library modules, by path suffix, and their replacements. */
const leanModules = {
	// Excludes fetch, WebSocket, mocks and caches.
	'undici/index.js': `
		const Dispatcher = require('./lib/dispatcher/dispatcher');
		Object.assign(Dispatcher.prototype, require('./lib/api'));
		exports.Client = require('./lib/dispatcher/client');
		exports.Pool = require('./lib/dispatcher/pool');
		exports.buildConnector = require('./lib/core/connect');
	`,
	// Excludes error messages in other languages.
	'zod/v4/locales/index.js': `export {default as en} from './en.js';`,
	// Excludes metrics of Node's cluster module.
	'prom-client/lib/cluster.js': 'module.exports = undefined;',
	'prom-client/lib/pushgateway.js': 'module.exports = undefined;',
};

const leanLibraries = {
	name: 'lean-libraries',
	setup({onLoad, onEnd}) {
		const replaced = new Set();
		for (const [end, contents] of Object.entries(leanModules)) {
			const pattern = `node_modules/${end}$`.replaceAll('.', String.raw`\.`);
			onLoad({filter: new RegExp(pattern)}, ({path: file}) => {
				replaced.add(end);
				return {contents, resolveDir: path.dirname(file)};
			});
		}

		// Fails the build when a library moves a module; otherwise it would silently be bundled in full again.
		onEnd(() => ({
			errors: Object.keys(leanModules)
				.filter((end) => !replaced.has(end))
				.map((end) => ({text: `module ${end} not found for replacement`})),
		}));
	},
};

await build({
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/egretspoke.mjs',
	bundle: true,
	minifySyntax: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	conditions: ['source'],
	plugins: [leanLibraries],
	// Bundled CommonJS modules load Node's built-in modules with `require`.
	banner: {
		js: "import {createRequire as createBundleRequire} from 'node:module'; const require = createBundleRequire(import.meta.url);",
	},
});
