/** An attempt without an answer when its engine ended the connection. */
export interface CrashReport {
  endpoint: string;
  /** Start of the engine, Unix milliseconds. */
  startedAtMs: number;
  /** Whether the engine had begun the answer, so that it may be the cause. */
  begun: boolean;
  /** Whether it had sent the first pieces, so that it still may be. */
  writing: boolean;
  /** Whether a part was on trial, so that little else was on the engine. */
  onTrial: boolean;
  /** Shared parts of the prompt. */
  parts: string[];
  /** Id of the request as a cause; empty if it cannot be told from others. */
  request: string;
  /** Time from the start of the attempt to its end, in milliseconds. */
  ranMs: number;
}

/** Id of the engine's start, which no later start shares. */
export function engineStart(
  report: Pick<CrashReport, 'endpoint' | 'startedAtMs'>,
): string {
  return `${report.endpoint}/${report.startedAtMs}`;
}
