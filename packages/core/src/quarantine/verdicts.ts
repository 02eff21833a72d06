import type {GatewayContext} from '../gateway/gateway_context.js';
import {causeKind} from './cause_kind.js';
import type {CrashLedger} from './crash_ledger.js';
import type {QuarantineGossip} from './quarantine_gossip.js';
import type {VerdictSource} from './verdict_source.js';
import type {QuarantineEntry} from './quarantine_entry.js';
import type {QuarantineList} from './quarantine_list.js';
import type {RequestEnds} from './request_ends.js';
import {reportVerdict} from './report_quarantine.js';

/** Time in which another verdict may show that a part was not the cause. */
const ACQUITTAL_MS = 10_000;

/** The verdicts on causes that are in force. */
export interface Verdicts {
  /** The verdict by which a cause is quarantined; undefined if it is not. */
  on(cause: string): QuarantineEntry | undefined;
  /** The verdicts for which requests with these causes are refused. */
  refusing(held: readonly string[]): QuarantineEntry[];
  /** Quarantines a cause; a part together with those always beside it. */
  convict(ctx: GatewayContext, cause: string): void;
  /** Lifts the quarantine of a cause, if it has one. */
  lift(ctx: GatewayContext, cause: string, source: VerdictSource): void;
  /**
   * Engines answered these, so that they are no cause of any end.
   * @returns what stood beside them in verdicts that this has lifted
   */
  cleared(ctx: GatewayContext, held: readonly string[]): string[];
  /** A request with these causes is sent in spite of its verdicts. */
  tried(ctx: GatewayContext, held: readonly string[]): void;
  /** Takes a verdict of a peer or of the store, unless it is outdated. */
  adopt(
    ctx: GatewayContext,
    entry: QuarantineEntry,
    source: VerdictSource,
  ): void;
}

/** Dependencies of the verdicts. */
export interface VerdictParts {
  ledger: CrashLedger;
  ends: RequestEnds;
  list: QuarantineList;
  gossip: QuarantineGossip;
  /** A cause is quarantined from now on. */
  onQuarantined(ctx: GatewayContext): void;
}

/** Creates the verdicts of a list. */
export function createVerdicts(parts: VerdictParts): Verdicts {
  const {ledger, ends, list, gossip} = parts;
  /** Steady clock; parts that this gateway convicted. */
  const convictedMs = new Map<string, number>();

  function on(cause: string): QuarantineEntry | undefined {
    const entry = list.get(cause);
    return entry?.state === 'quarantined' ? entry : undefined;
  }

  function refusing(held: readonly string[]): QuarantineEntry[] {
    return held
      .map(on)
      .filter(entry => entry !== undefined)
      .filter(({companions}) => companions.every(part => held.includes(part)));
  }

  function convict(ctx: GatewayContext, cause: string): void {
    const isPart = causeKind(cause) === 'part';
    const known = on(cause);
    const companions = isPart ? ledger.companions(cause) : [];
    if (known && known.companions.length <= companions.length) return;
    const {trials = 0} = list.get(cause) ?? {};
    if (isPart) convictedMs.set(cause, ctx.nowMs);
    const state = 'quarantined';
    change(ctx, {cause, state, companions, trials}, 'self');
  }

  function lift(
    ctx: GatewayContext,
    cause: string,
    source: VerdictSource,
  ): void {
    const entry = on(cause);
    if (!entry) return;
    change(ctx, {...entry, state: 'lifted', companions: []}, source);
  }

  function cleared(ctx: GatewayContext, held: readonly string[]): string[] {
    const companionsOfLifted = held.flatMap(
      cause => on(cause)?.companions ?? [],
    );
    for (const cause of held) lift(ctx, cause, 'self');
    for (const entry of list.parts()) {
      const companions = entry.companions.filter(part => !held.includes(part));
      if (companions.length === entry.companions.length) continue;
      change(ctx, {...entry, companions}, 'self');
    }
    return companionsOfLifted;
  }

  function tried(ctx: GatewayContext, held: readonly string[]): void {
    for (const entry of refusing(held)) {
      change(ctx, {...entry, trials: entry.trials + 1}, 'self');
    }
  }

  /** Adopts a verdict of this gateway and tells all others. */
  function change(
    ctx: GatewayContext,
    verdict: Omit<QuarantineEntry, 'changedAtMs'>,
    source: VerdictSource,
  ): void {
    const before = list.get(verdict.cause)?.changedAtMs ?? 0;
    // The time of day may have been set back since.
    const changedAtMs = Math.max(Math.round(ctx.wallMs), before + 1);
    const entry = {...verdict, changedAtMs};
    adopt(ctx, entry, source);
    gossip.tellVerdicts(ctx, [entry], false);
  }

  function adopt(
    ctx: GatewayContext,
    entry: QuarantineEntry,
    source: VerdictSource,
  ): void {
    const {cause, state, companions} = entry;
    const isPart = causeKind(cause) === 'part';
    const before = on(cause);
    const engines = isPart
      ? ledger.enginesOf(cause)
      : ends.enginesOf(cause).join(' ');
    if (!list.merge(entry)) return;
    reportVerdict(ctx, entry, engines, source);
    if (state === 'lifted') return forget(cause);
    if (before?.companions.length === companions.length) return;
    parts.onQuarantined(ctx);
    if (!isPart || companions.length > 0) return;
    ledger.explain(cause);
    acquit(ctx, cause);
  }

  function forget(cause: string): void {
    ledger.forget(cause);
    ends.forget(cause);
  }

  /** Lifts recent verdicts of this gateway that another part explains. */
  function acquit(ctx: GatewayContext, cause: string): void {
    for (const [part, atMs] of convictedMs) {
      const recent = ctx.nowMs - atMs < ACQUITTAL_MS;
      if (!recent || !on(part)) convictedMs.delete(part);
      else if (part !== cause && !ledger.isSufficient(part)) {
        lift(ctx, part, 'self');
      }
    }
  }

  return {on, refusing, convict, lift, cleared, tried, adopt};
}
