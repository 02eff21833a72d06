import js from '@eslint/js';
import tseslint from 'typescript-eslint';

const SCRIPT_GLOBALS = Object.fromEntries(
  [
    'Buffer',
    'TextDecoderStream',
    'URL',
    'AbortController',
    'AbortSignal',
    'clearTimeout',
    'console',
    'crypto',
    'fetch',
    'performance',
    'process',
    'setTimeout',
  ].map(name => [name, 'readonly']),
);

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      '**/gen/**',
      'node_modules/**',
      'run/**',
      'target/**',
      'journal/**',
    ],
  },
  js.configs.recommended,
  ...tseslint.configs.recommended,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/await-thenable': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'variable',
          modifiers: ['const', 'global'],
          format: ['camelCase', 'UPPER_CASE'],
        },
        {selector: 'function', format: ['camelCase']},
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              name: ['test', 'describe', 'it'],
              package: 'node:test',
            },
          ],
        },
      ],
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/no-namespace': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      eqeqeq: ['error', 'always'],
      'no-restricted-syntax': [
        'error',
        {selector: 'TSEnumDeclaration', message: 'Use a string union.'},
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
        {
          selector: 'PropertyDefinition[key.type="PrivateIdentifier"]',
          message: 'Use the private keyword.',
        },
      ],
      'no-var': 'error',
      'prefer-const': 'error',
    },
  },
  {
    files: ['scripts/**/*.mjs'],
    languageOptions: {globals: SCRIPT_GLOBALS},
  },
  {
    // Ok and Err are constructors that ts-results exports as values.
    files: ['packages/core/src/shared/result.ts'],
    rules: {'@typescript-eslint/naming-convention': 'off'},
  },
  {
    files: ['packages/core/src/**/*.ts'],
    ignores: ['**/*.test.ts', '**/mocks/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              regex: '^(?!\\.{1,2}/|ts-results$)',
              message: 'The core imports nothing but its own files.',
            },
          ],
        },
      ],
      'no-restricted-globals': [
        'error',
        'process',
        'setTimeout',
        'setInterval',
        'fetch',
        'console',
        'performance',
        'Date',
      ],
      'no-restricted-properties': [
        'error',
        {object: 'Math', property: 'random', message: 'Use the step input.'},
      ],
    },
  },
);
