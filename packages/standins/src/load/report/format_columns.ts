/** Formats rows as a table: first column left-aligned, others right. */
export function formatColumns(rows: string[][]): string {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, i) => {
      widths[i] = Math.max(widths[i] ?? 0, cell.length);
    });
  }
  const lines = rows.map(row =>
    row
      .map((cell, i) =>
        i === 0 ? cell.padEnd(widths[i] ?? 0) : cell.padStart(widths[i] ?? 0),
      )
      .join('  '),
  );
  return `${lines.join('\n')}\n`;
}
