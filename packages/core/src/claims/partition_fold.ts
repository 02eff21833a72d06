import type {LogRead} from '../router/events/log_read.js';
import type {LogRecord} from '../types/log_record.js';
import type {ClaimEntry} from './claim_entry.js';
import {claimKeyTimeMs} from './claim_key.js';
import type {ClaimVerdict} from './claim_verdict.js';
import {createKeyState, duplicateVerdict, type KeyState} from './key_state.js';
import type {OutcomeEntry} from './outcome_entry.js';
import {parseClaimBatch} from './parse_claim_batch.js';
import {createCompletenessWatermark} from './completeness_watermark.js';

/** Result of a read. */
export interface FoldRead {
  /** Unread records had passed out of retention. */
  trimmed: boolean;
  /** Offsets of records that were ignored as malformed. */
  malformed: number[];
}

/** Claims of one partition, folded from its records in log order. */
export interface PartitionFold {
  /** Offset of the next record expected. */
  nextOffset(): number;
  read(event: LogRead, nowMs: number): FoldRead;
  /** Verdict of a claim; undefined if it has not been read. */
  verdict(claim: ClaimEntry, nowMs: number): ClaimVerdict | undefined;
  /** Verdict of a claim that need not be appended, since it cannot win. */
  verdictWithoutAppend(
    claim: ClaimEntry,
    nowMs: number,
  ): ClaimVerdict | undefined;
  /** Whether an outcome has been read. */
  hasOutcome(outcome: OutcomeEntry): boolean;
  /** Drops keys created at or before a time. */
  prune(timeMs: number): void;
}

/** Creates a fold that expects the first record of the stream. */
export function createPartitionFold(clockToleranceMs: number): PartitionFold {
  const keys = new Map<string, KeyState>();
  const watermark = createCompletenessWatermark(clockToleranceMs);
  let next = 0;

  function read(event: LogRead, nowMs: number): FoldRead {
    const result: FoldRead = {trimmed: false, malformed: []};
    if (event.earliest > next) skipTo(event.earliest, result);
    for (const record of event.records) {
      if (record.offset < next) continue;
      if (record.offset > next) skipTo(record.offset, result);
      next = record.offset + 1;
      if (!apply(record, nowMs)) result.malformed.push(record.offset);
    }
    return result;
  }

  function skipTo(offset: number, result: FoldRead): void {
    keys.clear();
    next = offset;
    watermark.trimmed(offset);
    result.trimmed = true;
  }

  function apply(record: LogRecord, nowMs: number): boolean {
    const parsed = parseClaimBatch(record.data);
    if (!parsed.ok) return false;
    watermark.batchRead(parsed.val.base, parsed.val.wallMs);
    for (const entry of parsed.val.entries) {
      if (entry.type === 'claim') applyClaim(entry, nowMs);
      else applyOutcome(entry);
    }
    return true;
  }

  function applyClaim(claim: ClaimEntry, nowMs: number): void {
    const state = getOrCreateState(claim.key);
    if (state.claimStatuses.has(claim.claimId)) return;
    state.claimStatuses.set(claim.claimId, state.owner ? 'lost' : 'owner');
    state.owner ??= {
      claimId: claim.claimId,
      deadlineMs: nowMs + claim.timeoutMs,
      outcome: undefined,
    };
  }

  function applyOutcome(entry: OutcomeEntry): void {
    const state = getOrCreateState(entry.key);
    state.claimsWithOutcome.add(entry.claimId);
    const owner = state.owner?.claimId === entry.claimId ? state.owner : null;
    if (entry.outcome !== 'not_run') {
      if (owner) owner.outcome ??= entry.outcome;
    } else if (!owner?.outcome) {
      // An outcome also applies before its claim, which may be read later.
      state.claimStatuses.set(entry.claimId, 'ended');
      if (owner) state.owner = undefined;
    }
  }

  function getOrCreateState(key: string): KeyState {
    const known = keys.get(key);
    if (known) return known;
    const timeMs = claimKeyTimeMs(key) ?? 0;
    const state = createKeyState(timeMs);
    keys.set(key, state);
    return state;
  }

  function verdict(claim: ClaimEntry, nowMs: number): ClaimVerdict | undefined {
    const state = keys.get(claim.key);
    const status = state?.claimStatuses.get(claim.claimId);
    if (!state || !status) return undefined;
    if (status !== 'owner') return duplicateVerdict(state, nowMs);
    return watermark.covers(state.timeMs) ? 'granted' : 'expired';
  }

  function verdictWithoutAppend(
    claim: ClaimEntry,
    nowMs: number,
  ): ClaimVerdict | undefined {
    const state = keys.get(claim.key);
    if (state?.owner) return duplicateVerdict(state, nowMs);
    // While the watermark is unknown the claim is appended: if no record was
    // retained, only a new batch can set the watermark.
    const excluded = watermark.excludes(claimKeyTimeMs(claim.key) ?? 0);
    return excluded ? 'expired' : undefined;
  }

  function prune(timeMs: number): void {
    watermark.raise(timeMs);
    for (const [key, state] of keys) {
      if (state.timeMs <= timeMs) keys.delete(key);
    }
  }

  return {
    nextOffset: () => next,
    read,
    verdict,
    verdictWithoutAppend,
    hasOutcome: ({key, claimId}) =>
      keys.get(key)?.claimsWithOutcome.has(claimId) ?? false,
    prune,
  };
}
