import type {LoadResult} from '../stats/load_result.js';

/** Output format for the result of a run. */
export abstract class ReportFormat {
  abstract format(result: LoadResult): string;
}
