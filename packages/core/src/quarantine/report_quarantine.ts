import type {RequestArrived} from '../gateway/events/request_arrived.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import {causeKind} from './cause_kind.js';
import type {CrashReport} from './crash_report.js';
import type {PromptAdmission} from './prompt_admission.js';
import type {QuarantineEntry} from './quarantine_entry.js';
import type {VerdictSource} from './verdict_source.js';

/** Logs an engine that ended, and what it was serving for this gateway. */
export function reportCrash(
  ctx: GatewayContext,
  {endpoint, startedAtMs, begun, parts, request}: CrashReport,
): void {
  const held = parts.join(' ');
  const fields = {endpoint, startedAtMs, begun, parts: held, request};
  ctx.emit({kind: 'write_log', event: 'WL8501', fields});
}

/** Logs a cause that is suspected, or cleared of the suspicion. */
export function reportStanding(
  ctx: GatewayContext,
  cause: string,
  standing: 'clear' | 'suspected',
  evidence: number,
  engines: string,
): void {
  const fields = {standing, evidence, engines};
  if (causeKind(cause) === 'part') {
    const named = {part: cause, ...fields};
    ctx.emit({kind: 'write_log', event: 'WL8502', fields: named});
  } else {
    const named = {request: cause, ...fields};
    ctx.emit({kind: 'write_log', event: 'WL8510', fields: named});
  }
}

/** Logs and counts a verdict that this gateway adopted. */
export function reportVerdict(
  ctx: GatewayContext,
  entry: QuarantineEntry,
  engines: string,
  source: VerdictSource,
): void {
  const {cause, state, trials} = entry;
  const ageMs = Math.round(ctx.wallMs - entry.changedAtMs);
  const labels = {state, source};
  if (causeKind(cause) === 'part') {
    const companions = entry.companions.join(' ');
    const verdict = {part: cause, state, companions, engines, trials};
    const fields = {...verdict, ageMs, source};
    ctx.emit({kind: 'write_log', event: 'WL8503', fields});
    const metric = 'part_verdicts_total';
    ctx.emit({kind: 'observe', metric, labels, value: 1});
  } else {
    const fields = {request: cause, state, engines, ageMs, source};
    ctx.emit({kind: 'write_log', event: 'WL8511', fields});
    const metric = 'request_verdicts_total';
    ctx.emit({kind: 'observe', metric, labels, value: 1});
  }
}

/** Logs and counts what became of a request with suspected causes. */
export function reportAdmission(
  ctx: GatewayContext,
  reqId: string,
  causes: readonly string[],
  admission: Exclude<PromptAdmission, 'send'>,
): void {
  const isPart = (cause: string): boolean => causeKind(cause) === 'part';
  const parts = causes.filter(isPart).join(' ');
  const request = causes.find(cause => !isPart(cause)) ?? '';
  const fields = {reqId, admission, parts, request};
  ctx.emit({kind: 'write_log', event: 'WL8504', fields});
  const labels = {admission};
  const metric = 'suspected_requests_total';
  ctx.emit({kind: 'observe', metric, labels, value: 1});
}

/** Logs and counts parts of a prompt that no quarantine can know. */
export function reportPartsLeftOut(
  ctx: GatewayContext,
  {reqId, sharedParts, partsLeftOut}: RequestArrived,
): void {
  const fields = {reqId, known: sharedParts.length, leftOut: partsLeftOut};
  ctx.emit({kind: 'write_log', event: 'WL8505', fields});
  const metric = 'prompt_parts_left_out_total';
  ctx.emit({kind: 'observe', metric, labels: {}, value: partsLeftOut});
}
