import neostandard from 'neostandard'

// Formatting rules: only the style rules of the linter's rule set, so that the formatter and the linter cannot disagree.
const isStyleRule = name => name.startsWith('@stylistic/')

const onlyStyle = ({ rules, ...rest }) => rules === undefined
  ? rest
  : { ...rest, rules: Object.fromEntries(Object.entries(rules).filter(([name]) => isStyleRule(name))) }

export default neostandard({ ts: true, ignores: ['**/dist/**', 'report/**', 'target/**', 'journal/**'] })
  .map(onlyStyle)
  .concat({ linterOptions: { reportUnusedDisableDirectives: 'off' } })
