/**
 * Bundles the node program into one file, and adds a code cache. A start then
 * reads one file instead of about a hundred modules, compiles nothing that the
 * training run has compiled, and skips parts of libraries and of Node that the
 * node never uses; loading them would take most of the processor time of a start.
 */
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const program = 'target/egretspoke-program.cjs';
const loader = 'target/egretspoke.cjs';

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
	// Without the native decoder of long strings, which messages between nodes don't have.
	'msgpackr-extract/index.js': 'module.exports = undefined;',
};

/** Modules of Node that libraries require but the node uses rarely or never, loaded on first use. */
const lazyBuiltins = [
	'child_process',
	'cluster',
	'dgram',
	'http2',
	'https',
	'os',
	'perf_hooks',
	'tls',
	'v8',
	'worker_threads',
	'zlib',
];

const lazyBuiltinModules = {
	name: 'lazy-builtin-modules',
	setup({onResolve, onLoad}) {
		const pattern = new RegExp(`^(node:)?(${lazyBuiltins.join('|')})$`);
		onResolve({filter: pattern}, ({path: name, namespace}) =>
			namespace === 'lazy-builtin'
				? undefined
				: {path: name.replace('node:', ''), namespace: 'lazy-builtin'},
		);
		onLoad({filter: /.*/, namespace: 'lazy-builtin'}, ({path: name}) => ({
			contents: `
				let loaded;
				const load = () => loaded ??= require(${JSON.stringify('node:')} + ${JSON.stringify(name)});
				module.exports = new Proxy({}, {get: (_, key) => load()[key], has: (_, key) => key in load()});
			`,
		}));
	},
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

const common = {
	bundle: true,
	minifySyntax: true,
	platform: 'node',
	target: 'node20',
	// Not ESM, for which Node has no code cache and evaluates each getter of the built-in modules.
	format: 'cjs',
	conditions: ['source'],
};

await build({
	...common,
	entryPoints: ['platform/src/program.ts'],
	outfile: program,
	// Replaces `import.meta.url`, from which msgpackr derives a `require`.
	define: {'import.meta.url': '__filename'},
	plugins: [leanLibraries, lazyBuiltinModules],
});
await build({
	...common,
	entryPoints: ['platform/src/loader.ts'],
	outfile: loader,
});
writeCodeCache();

/** Runs the program once with the flags of the deployment, since V8 rejects a cache that was made with others. */
function writeCodeCache() {
	const [, flags] = /^run = "node (.*) \S+"$/m.exec(
		readFileSync('deploy/system.toml', 'utf8'),
	);
	execFileSync(process.execPath, [...flags.split(' '), loader], {
		env: {...process.env, EGRETSPOKE_WRITE_CODE_CACHE: '1'},
		stdio: 'inherit',
	});
}
