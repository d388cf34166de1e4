import jsdoc from 'eslint-plugin-jsdoc'
import neostandard from 'neostandard'

const documentedItems = {
  FunctionDeclaration: true,
  ClassDeclaration: true,
  MethodDefinition: false
}

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'report/**', 'target/**', 'journal/**'] }),
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    plugins: { jsdoc },
    rules: {
      'jsdoc/require-jsdoc': ['error', { publicOnly: true, require: documentedItems, contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration'] }],
      'max-lines': ['error', { max: 350, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
      'no-throw-literal': 'error'
    }
  },
  {
    files: ['**/test/**/*.ts'],
    rules: { 'no-unused-expressions': 'off', '@typescript-eslint/no-unused-expressions': 'off' }
  }
]
