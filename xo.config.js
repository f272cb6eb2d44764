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
		files: ['packages/**/*.ts'],
		languageOptions: {
			parserOptions: {
				project: './tsconfig.check.json',
				projectService: false,
				tsconfigRootDir: import.meta.dirname,
			},
		},
	},
];

export default configuration;
