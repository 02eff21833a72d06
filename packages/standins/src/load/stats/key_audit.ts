import type {EndedRequest} from '../requests/ended_request.js';

/** Compares what callers were told with what services executed. */
export interface KeyAudit {
  ended(request: EndedRequest): void;
  executed(executions: Record<string, number>): void;
  doubleRuns(): number;
  falseNotRun(): number;
}

/** Creates an audit without keys. */
export function createKeyAudit(): KeyAudit {
  /** Whether every answer for the key said that it was not run. */
  const notRun = new Map<string, boolean>();
  let counts: Record<string, number> = {};

  function keysWhere(test: (key: string, count: number) => boolean): number {
    return [...notRun.keys()].filter(key => test(key, counts[key] ?? 0)).length;
  }

  return {
    ended: ({request, kind}) => {
      const {idempotencyKey} = request;
      if (idempotencyKey === '') return;
      const before = notRun.get(idempotencyKey) ?? true;
      notRun.set(idempotencyKey, before && kind === 'rejected_not_run');
    },
    executed: executions => {
      counts = executions;
    },
    doubleRuns: () => keysWhere((_key, count) => count > 1),
    falseNotRun: () =>
      keysWhere((key, count) => count > 0 && notRun.get(key) === true),
  };
}
