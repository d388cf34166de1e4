/** Markdown tables for the generated pages in docs/. */

/**
 * A Markdown table.
 *
 * @example
 * markdownTable(['Name'], [['a|b']]) // '| Name |\n|---|\n| a\\|b |'
 */
export function markdownTable (heads: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const line = (cells: readonly string[]): string => `| ${cells.map(cell => cell.replaceAll('|', '\\|')).join(' | ')} |`
  return [line(heads), `|${heads.map(() => '---').join('|')}|`, ...rows.map(line)].join('\n')
}
