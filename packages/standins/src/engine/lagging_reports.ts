import type {EngineConfig} from './engine_config.js';
import type {EngineReport} from './engine_report.js';

/** Load reports as readers see them: some time after they were true. */
export interface LaggingReports {
  /** Takes a report if the interval has passed. */
  advance(nowMs: number, take: () => EngineReport): void;
  read(nowMs: number): EngineReport | undefined;
}

interface TakenReport {
  takenMs: number;
  report: EngineReport;
}

/** Creates the queue of reports that are not visible yet. */
export function createLaggingReports(cfg: EngineConfig): LaggingReports {
  let reports: TakenReport[] = [];
  let nextMs: number | undefined;

  function dropOld(nowMs: number): void {
    const visible = reports.findLastIndex(
      ({takenMs}) => takenMs <= nowMs - cfg.reportLagMs,
    );
    if (visible > 0) reports = reports.slice(visible);
  }

  return {
    advance: (nowMs, take) => {
      if (nextMs !== undefined && nowMs < nextMs) return;
      nextMs = nowMs + cfg.reportIntervalMs;
      reports.push({takenMs: nowMs, report: take()});
      dropOld(nowMs);
    },
    read: nowMs => {
      dropOld(nowMs);
      return reports[0]?.report;
    },
  };
}
