const config = [
	{
		ignores: ['src/generated/**', 'dist/**'],
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Source runs directly on Node.js, whose type stripping needs the .ts extension.
			'import-x/extensions': 'off',
			'n/file-extension-in-import': 'off',
			// Tasks and fault schedules are sequential by design.
			'no-await-in-loop': 'off',
			// Constructors of purify-ts are capitalised functions.
			'new-cap': ['error', {newIsCap: true, capIsNewExceptions: ['Left', 'Right', 'Just', 'EitherAsync', 'MaybeAsync']}],
			// Parsed documents are validated by zod before they are narrowed.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
	{
		// Property names of outside protocols and of purify-ts (`Left`, `Right`) are fixed; all other names follow XO.
		files: ['**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': [
				'error',
				{
					selector: ['variable', 'function', 'classProperty', 'classMethod', 'parameter'], format: ['strictCamelCase'], leadingUnderscore: 'allow', filter: {regex: '[^_]', match: true},
				},
				{selector: 'typeLike', format: ['StrictPascalCase']},
			],
		},
	},
];

export default config;
