/** Markdown tables for the generated pages in docs/. */

/**
 * Renders a Markdown table, with the pipes in its cells escaped.
 *
 * @example
 * markdownTable(['Name'], [['a|b']]) // '| Name |\n|---|\n| a\\|b |'
 */
export function markdownTable (headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const line = (cells: readonly string[]): string => `| ${cells.map(cell => cell.replaceAll('|', '\\|')).join(' | ')} |`
  return [line(headings), `|${headings.map(() => '---').join('|')}|`, ...rows.map(line)].join('\n')
}
