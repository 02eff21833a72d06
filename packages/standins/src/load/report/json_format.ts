import type {LoadResult} from '../stats/load_result.js';
import {ReportFormat} from './report_format.js';

/** Prints the result as one line of JSON. */
export class JsonFormat extends ReportFormat {
  override format(result: LoadResult): string {
    return `${JSON.stringify(result)}\n`;
  }
}
