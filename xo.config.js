/** @type {import('xo').FlatXoConfig} */
const configuration = [
	{
		ignores: ['**/dist/**', 'docs/**'],
	},
	{
		prettier: true,
		space: false,
	},
	{
		files: ['packages/**/*.ts', 'platform/**/*.ts'],
		languageOptions: {
			parserOptions: {
				project: './tsconfig.check.json',
				projectService: false,
				tsconfigRootDir: import.meta.dirname,
			},
		},
	},
	{
		// The fields on the wire are the users' own; only this folder spells them.
		files: ['platform/**/*.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
];

export default configuration;
