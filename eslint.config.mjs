// Airbnb rules for TypeScript. Formatting that prettier already decides is left to prettier, which is
// set to Airbnb's line length, quotes and commas.
import { configs, plugins } from 'eslint-config-airbnb-extended';

const formattingDecidedByPrettier = {
  '@stylistic/array-bracket-newline': 'off',
  '@stylistic/arrow-parens': 'off',
  '@stylistic/function-paren-newline': 'off',
  '@stylistic/implicit-arrow-linebreak': 'off',
  '@stylistic/indent': 'off',
  '@stylistic/indent-binary-ops': 'off',
  '@stylistic/lines-between-class-members': 'off',
  '@stylistic/max-len': 'off',
  '@stylistic/member-delimiter-style': 'off',
  '@stylistic/no-confusing-arrow': 'off',
  '@stylistic/no-extra-parens': 'off',
  '@stylistic/no-mixed-operators': 'off',
  '@stylistic/nonblock-statement-body-position': 'off',
  '@stylistic/object-curly-newline': 'off',
  '@stylistic/operator-linebreak': 'off',
  '@stylistic/quotes': 'off',
  '@stylistic/quote-props': 'off',
  '@stylistic/spaced-comment': 'error',
  '@stylistic/wrap-iife': 'off',
};

const houseRules = {
  // The house style asks for named exports only.
  'import-x/prefer-default-export': 'off',
  'import-x/no-default-export': 'error',
  // Imports of compiled ES modules include the file extension; the TypeScript compiler checks each path.
  'import-x/extensions': 'off',
  'import-x/no-unresolved': 'off',
  'import-x/no-extraneous-dependencies': 'off',
  'import-x/no-rename-default': 'off',
  // Awaiting one call after another in a loop is often intended.
  'no-await-in-loop': 'off',
  // The rule bans iterators, which need a polyfill on old runtimes; every supported Node has them natively.
  'no-restricted-syntax': 'off',
  'no-continue': 'off',
  'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
  // Functions are hoisted; in a module the exported ones come first, followed by their helpers.
  'no-use-before-define': 'off',
  '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
  'no-void': ['error', { allowAsStatement: true }],
  // The rule does not recognize classes created by modern-errors as errors.
  '@typescript-eslint/only-throw-error': 'off',
  // Nest's modules and controllers are classes by design, some of them without members.
  '@typescript-eslint/no-extraneous-class': 'off',
  'class-methods-use-this': 'off',
  'max-classes-per-file': 'off',
  'no-underscore-dangle': ['error', { allow: ['_id'] }],
  'no-console': 'error',
};

export default [
  { ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  { rules: { ...formattingDecidedByPrettier, ...houseRules } },
  {
    files: ['**/__tests__/**', '**/*.mjs'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
    rules: { 'import-x/no-default-export': 'off', 'no-console': 'off' },
  },
  {
    // Names that the platform defines are encoded and decoded in platform/ only.
    files: ['packages/*/src/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        ...['Literal[value=/PATTERN/i]', 'TemplateElement[value.raw=/PATTERN/i]'].map(
          (selector) => ({
            selector: selector.replace(
              'PATTERN',
              'x-skylarksail-|\\bkv-(key|range|watch|txn|lease|keep)|SKYLARKSAIL_BOOT|^op\\u002fconfig|^servers\\u002f',
            ),
            message: 'Names of the platform belong into platform/.',
          }),
        ),
      ],
    },
  },
  {
    // Many of Chai's assertions are property reads, which these rules would report as unused.
    files: ['**/__tests__/**'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off', 'no-unused-expressions': 'off' },
  },
];
