import type {WorkNotice} from './messages/work_notice.js';
import type {Work} from './work.js';

/** Converts work to a message with times relative to now, as clocks differ. */
export function toWorkNotice(work: Work, nowMs: number): WorkNotice {
  const {
    main,
    helpers,
    sharded: shared,
    promptTokens,
    outputTokens,
    gapMs,
    decoding: writing,
    serviceMs,
  } = work;
  return {
    work: work.id,
    main,
    helpers,
    shared,
    promptTokens,
    outputTokens,
    gapMs,
    writing,
    serviceMs,
    dueInMs: work.dueMs - nowMs,
    ageMs: nowMs - work.startedMs,
  };
}

/** Converts a message to work with times on the clock of this process. */
export function fromWorkNotice(
  notice: WorkNotice,
  member: string,
  nowMs: number,
): Work {
  const {main, helpers, shared, promptTokens, outputTokens} = notice;
  const {gapMs, writing, serviceMs} = notice;
  return {
    member,
    id: notice.work,
    main,
    helpers,
    sharded: shared,
    promptTokens,
    outputTokens,
    gapMs,
    decoding: writing,
    serviceMs,
    dueMs: nowMs + notice.dueInMs,
    startedMs: nowMs - notice.ageMs,
  };
}
