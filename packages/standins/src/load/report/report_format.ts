import type {LoadResult} from '../stats/load_result.js';

/** How the result of a run is printed. */
export abstract class ReportFormat {
  abstract format(result: LoadResult): string;
}
