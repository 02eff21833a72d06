import type {EndedRequest} from '../requests/ended_request.js';
import {createHistogram} from './histogram.js';
import type {GroupCounts} from './group_counts.js';

/** Statistics of a group of requests. */
export interface GroupStatistics {
  sent(): void;
  ended(request: EndedRequest): void;
  read(): GroupCounts;
}

/** Creates empty statistics. */
export function createGroupStatistics(): GroupStatistics {
  const outcomes: Record<string, number> = {};
  const firstTokens = createHistogram();
  const totals = createHistogram();
  let sent = 0;
  let completed = 0;
  let withinTimeout = 0;
  let tokens = 0;

  function ended(endedRequest: EndedRequest): void {
    const {request, outcome, code, firstTokenMs, totalMs} = endedRequest;
    const name = code === '' ? outcome : `${outcome}/${code}`;
    outcomes[name] = (outcomes[name] ?? 0) + 1;
    if (outcome !== 'completed') return;
    completed += 1;
    if (totalMs <= request.timeoutMs) withinTimeout += 1;
    if (request.kind === 'chat') {
      tokens += request.promptTokens + request.maxTokens;
    }
    totals.record(totalMs);
    if (firstTokenMs !== undefined) firstTokens.record(firstTokenMs);
  }

  return {
    sent: () => {
      sent += 1;
    },
    ended,
    read: () => ({
      sent,
      completed,
      outcomes,
      withinTime: sent === 0 ? 0 : withinTimeout / sent,
      tokens,
      firstTokenMs: firstTokens,
      totalMs: totals,
    }),
  };
}
