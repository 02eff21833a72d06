import type {EndedRequest} from '../requests/ended_request.js';
import {createRecorder} from './recorder.js';
import type {TallyCounts} from './tally_counts.js';

/** Counts the requests of a group. */
export interface Tally {
  sent(): void;
  ended(request: EndedRequest): void;
  read(): TallyCounts;
}

/** Creates an empty tally. */
export function createTally(): Tally {
  const outcomes: Record<string, number> = {};
  const firstTokens = createRecorder();
  const totals = createRecorder();
  let sent = 0;
  let completed = 0;
  let inTime = 0;
  let tokens = 0;

  function ended(item: EndedRequest): void {
    const {request, kind, code, firstTokenMs, totalMs} = item;
    const name = code === '' ? kind : `${kind}/${code}`;
    outcomes[name] = (outcomes[name] ?? 0) + 1;
    if (kind !== 'completed') return;
    completed += 1;
    if (totalMs <= request.timeoutMs) inTime += 1;
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
      withinTime: sent === 0 ? 0 : inTime / sent,
      tokens,
      firstTokenMs: firstTokens,
      totalMs: totals,
    }),
  };
}
