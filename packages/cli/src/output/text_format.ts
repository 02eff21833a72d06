import {OutputFormat} from './output_format.js';
import type {Report} from './report.js';

/** Writes notes and aligned columns, for a terminal. */
export class TextFormat extends OutputFormat {
  override render({columns, rows, notes}: Report): string {
    const lines = rows.map(row => row.map(String));
    if (lines.length > 0) lines.unshift(columns);
    const widths = columns.map((_column, index) =>
      Math.max(0, ...lines.map(line => line[index]?.length ?? 0)),
    );
    const aligned = lines.map(line =>
      line
        .map((cell, index) => cell.padEnd(widths[index] ?? 0))
        .join('  ')
        .trimEnd(),
    );
    return [...notes, ...aligned].map(line => `${line}\n`).join('');
  }
}
