import {OutputFormat} from './output_format.js';
import type {Report} from './report.js';

/** Writes the JSON value, for other programs. */
export class JsonFormat extends OutputFormat {
  override render(report: Report): string {
    return `${JSON.stringify(report.json, null, 2)}\n`;
  }
}
