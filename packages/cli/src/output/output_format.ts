import type {Report} from './report.js';

/** Format in which a report is written. */
export abstract class OutputFormat {
  abstract render(report: Report): string;
}
