/**
 * Bundles the node program into one file. A start reads one file in place of
 * some hundred modules.
 */
import {build} from 'esbuild';

await build({
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/egretspoke.mjs',
	bundle: true,
	minifySyntax: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	conditions: ['source'],
	// CommonJS modules within the bundle ask for Node's own modules by `require`.
	banner: {
		js: "import {createRequire as createBundleRequire} from 'node:module'; const require = createBundleRequire(import.meta.url);",
	},
});
