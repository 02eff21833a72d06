/** Formats a Markdown table; pipes in cells are escaped. */
export function markdownTable(
  columns: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const line = (cells: readonly string[]): string =>
    `| ${cells.map(cell => cell.replaceAll('|', '\\|')).join(' | ')} |\n`;
  return (
    line(columns) + line(columns.map(() => '---')) + rows.map(line).join('')
  );
}
