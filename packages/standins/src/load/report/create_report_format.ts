import {JsonFormat} from './json_format.js';
import type {ReportFormat} from './report_format.js';
import type {ReportName} from './report_name.js';
import {TableFormat} from './table_format.js';

/** Creates the report format with the given name. */
export function createReportFormat(name: ReportName): ReportFormat {
  return name === 'json' ? new JsonFormat() : new TableFormat();
}
