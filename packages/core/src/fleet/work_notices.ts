import type {WorkNotice} from './messages/work_notice.js';
import type {Work} from './work.js';

/** Describes work to other gateways, whose clocks differ. */
export function noticeOf(work: Work, nowMs: number): WorkNotice {
  const {main, helpers, shared, promptTokens, outputTokens, gapMs, writing} =
    work;
  return {
    work: work.work,
    main,
    helpers,
    shared,
    promptTokens,
    outputTokens,
    gapMs,
    writing,
    dueInMs: work.dueMs - nowMs,
    ageMs: nowMs - work.startedMs,
  };
}

/** Reads a description by the clock of this process. */
export function workOf(
  notice: WorkNotice,
  member: string,
  nowMs: number,
): Work {
  const {main, helpers, shared, promptTokens, outputTokens, gapMs, writing} =
    notice;
  return {
    member,
    work: notice.work,
    main,
    helpers,
    shared,
    promptTokens,
    outputTokens,
    gapMs,
    writing,
    dueMs: nowMs + notice.dueInMs,
    startedMs: nowMs - notice.ageMs,
  };
}
