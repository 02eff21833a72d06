import type {RequestArrived} from '../gateway/events/request_arrived.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import type {CrashReport} from './crash_report.js';
import type {PartAdmission} from './part_admission.js';
import type {PartSource} from './part_source.js';
import type {QuarantineEntry} from './quarantine_entry.js';

/** Logs an engine that ended, and what it was serving for this gateway. */
export function reportCrash(
  ctx: GatewayContext,
  {endpoint, startedAtMs, begun, parts}: CrashReport,
): void {
  const fields = {endpoint, startedAtMs, begun, parts: parts.join(' ')};
  ctx.emit({kind: 'write_log', event: 'WL8501', fields});
}

/** Logs a part that is suspected, or cleared of the suspicion. */
export function reportStanding(
  ctx: GatewayContext,
  part: string,
  standing: 'clear' | 'suspected',
  evidence: number,
  engines: string,
): void {
  const fields = {part, standing, evidence, engines};
  ctx.emit({kind: 'write_log', event: 'WL8502', fields});
}

/** Logs and counts a verdict that this gateway adopted. */
export function reportVerdict(
  ctx: GatewayContext,
  entry: QuarantineEntry,
  engines: string,
  source: PartSource,
): void {
  const {part, state, trials} = entry;
  const ageMs = Math.round(ctx.wallMs - entry.changedAtMs);
  const companions = entry.companions.join(' ');
  const fields = {part, state, companions, engines, trials, ageMs, source};
  ctx.emit({kind: 'write_log', event: 'WL8503', fields});
  const labels = {state, source};
  ctx.emit({kind: 'observe', metric: 'part_verdicts_total', labels, value: 1});
}

/** Logs and counts what became of a request with suspected parts. */
export function reportAdmission(
  ctx: GatewayContext,
  reqId: string,
  parts: readonly string[],
  admission: Exclude<PartAdmission, 'send'>,
): void {
  const fields = {reqId, admission, parts: parts.join(' ')};
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
