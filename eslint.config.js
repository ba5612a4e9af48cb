import tseslint from 'typescript-eslint'

export const config = tseslint.config(
  { ignores: ['**/dist/**', '**/gen/**', 'scripts/**', 'eslint.config.js'] },
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', name: ['test', 'describe', 'it', 'suite'], package: 'node:test' },
          ],
        },
      ],
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/await-thenable': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
    },
  },
)

export { config as default }
