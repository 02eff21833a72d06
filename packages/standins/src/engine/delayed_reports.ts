import type {EngineConfig} from './engine_config.js';
import type {EngineReport} from './engine_report.js';

/** Load reports that become visible after a delay, as stale reports do. */
export interface DelayedReports {
  /** Creates a report if the report interval has passed. */
  advance(nowMs: number, createReport: () => EngineReport): void;
  /** Newest visible report, else the oldest one; undefined without any. */
  read(nowMs: number): EngineReport | undefined;
}

interface TimedReport {
  takenMs: number;
  report: EngineReport;
}

/** Creates an empty queue of reports. */
export function createDelayedReports(cfg: EngineConfig): DelayedReports {
  let reports: TimedReport[] = [];
  let nextMs: number | undefined;

  function dropSuperseded(nowMs: number): void {
    const visible = reports.findLastIndex(
      ({takenMs}) => takenMs <= nowMs - cfg.reportLagMs,
    );
    if (visible > 0) reports = reports.slice(visible);
  }

  return {
    advance: (nowMs, createReport) => {
      if (nextMs !== undefined && nowMs < nextMs) return;
      nextMs = nowMs + cfg.reportIntervalMs;
      reports.push({takenMs: nowMs, report: createReport()});
      dropSuperseded(nowMs);
    },
    read: nowMs => {
      dropSuperseded(nowMs);
      return reports[0]?.report;
    },
  };
}
