import type {Report} from './report.js';

/** A way to write a report. */
export abstract class OutputFormat {
  abstract render(report: Report): string;
}
