import type {EndedRequest} from '../requests/ended_request.js';

/** Compares the outcomes seen by callers with the executions of services. */
export interface IdempotencyAudit {
  ended(request: EndedRequest): void;
  executed(executions: Record<string, number>): void;
  doubleRuns(): number;
  falseNotRun(): number;
}

/** Creates an audit without idempotency keys. */
export function createIdempotencyAudit(): IdempotencyAudit {
  /** Keys seen; true while all their outcomes are `rejected_not_run`. */
  const notRun = new Map<string, boolean>();
  let counts: Record<string, number> = {};

  function countKeys(test: (key: string, count: number) => boolean): number {
    return [...notRun.keys()].filter(key => test(key, counts[key] ?? 0)).length;
  }

  return {
    ended: ({request, outcome}) => {
      const {idempotencyKey} = request;
      if (idempotencyKey === '') return;
      const notRunSoFar = notRun.get(idempotencyKey) ?? true;
      notRun.set(idempotencyKey, notRunSoFar && outcome === 'rejected_not_run');
    },
    executed: executions => {
      counts = executions;
    },
    doubleRuns: () => countKeys((_key, count) => count > 1),
    falseNotRun: () =>
      countKeys((key, count) => count > 0 && notRun.get(key) === true),
  };
}
