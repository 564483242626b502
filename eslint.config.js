import js from '@eslint/js';
import tseslint from 'typescript-eslint';
import importX from 'eslint-plugin-import-x';

/**
 * Source layers, longest-lived first. A layer may import itself and the layers
 * listed before it.
 */
const LAYERS = [
  'base',
  'protocol',
  'version',
  'process',
  'connection',
  'request',
];

/** Programs sit on top of the layers and never import one another. */
const PROGRAMS = ['daemon', 'cli', 'emulator'];

const zones = [
  ...LAYERS.map((layer, index) => ({
    target: `./src/${layer}`,
    from: [...LAYERS.slice(index + 1), ...PROGRAMS].map(
      name => `./src/${name}`,
    ),
    message: `Layer '${layer}' may only import layers that live as long or longer.`,
  })),
  ...PROGRAMS.map(program => ({
    target: `./src/${program}`,
    from: PROGRAMS.filter(other => other !== program).map(
      name => `./src/${name}`,
    ),
    message: 'Programs do not import one another.',
  })),
  {
    target: './src',
    from: ['./test', './bench'],
    message: 'Product code does not import tests or benches.',
  },
  {
    target: './src',
    from: './platform',
    message: 'Only programs start from the platform; nothing in src knows it.',
  },
];

export default tseslint.config(
  {
    ignores: [
      'dist/**',
      'target/**',
      'journal/**',
      'node_modules/**',
      'src/protocol/gen/**',
    ],
  },
  js.configs.recommended,
  ...tseslint.configs.strict,
  {
    files: ['**/*.ts'],
    plugins: {'import-x': importX},
    settings: {
      'import-x/resolver': {node: {extensions: ['.ts', '.js']}},
    },
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {prefer: 'type-imports', fixStyle: 'separate-type-imports'},
      ],
      '@typescript-eslint/no-extraneous-class': 'off',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'variable',
          modifiers: ['const', 'global'],
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
          leadingUnderscore: 'forbid',
        },
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'interface',
          format: ['PascalCase'],
          custom: {regex: '^I[A-Z]', match: false},
        },
        {selector: 'function', format: ['camelCase']},
        {selector: 'method', format: ['camelCase']},
        {
          selector: 'parameter',
          format: ['camelCase'],
          leadingUnderscore: 'allow',
        },
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      'import-x/no-default-export': 'error',
      'import-x/no-restricted-paths': ['error', {zones}],
      'prefer-const': 'error',
      'max-lines': [
        'error',
        {max: 350, skipBlankLines: true, skipComments: true},
      ],
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      curly: ['error', 'multi-line'],
    },
  },
  {
    files: ['test/**/*.ts'],
    rules: {'@typescript-eslint/no-non-null-assertion': 'off'},
  },
  {
    files: ['*.js'],
    rules: {'import-x/no-default-export': 'off'},
    languageOptions: {
      globals: {process: 'readonly', console: 'readonly', URL: 'readonly'},
    },
  },
);
