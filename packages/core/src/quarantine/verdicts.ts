import type {GatewayContext} from '../gateway/gateway_context.js';
import type {CrashLedger} from './crash_ledger.js';
import type {PartGossip} from './part_gossip.js';
import type {PartSource} from './part_source.js';
import type {QuarantineEntry} from './quarantine_entry.js';
import type {QuarantineList} from './quarantine_list.js';
import {reportVerdict} from './report_parts.js';

/** Time in which another verdict may show that a part was not the cause. */
const ACQUITTAL_MS = 10_000;

/** The verdicts on parts of prompts that are in force. */
export interface Verdicts {
  /** The verdict by which a part is quarantined; undefined if it is not. */
  on(part: string): QuarantineEntry | undefined;
  /** The verdicts for which prompts with these parts are refused. */
  refusing(held: readonly string[]): QuarantineEntry[];
  /** Quarantines a part, together with those that were always beside it. */
  convict(ctx: GatewayContext, part: string): void;
  /** Lifts the quarantine of a part, if it has one. */
  lift(ctx: GatewayContext, part: string, source: PartSource): void;
  /**
   * Engines answered these parts, so that they are no cause of any end.
   * @returns what stood beside them in verdicts that this has lifted
   */
  cleared(ctx: GatewayContext, held: readonly string[]): string[];
  /** A prompt with these parts is sent in spite of its verdicts. */
  tried(ctx: GatewayContext, held: readonly string[]): void;
  /** Takes a verdict of a peer or of the store, unless it is outdated. */
  adopt(ctx: GatewayContext, entry: QuarantineEntry, source: PartSource): void;
}

/** Dependencies of the verdicts. */
export interface VerdictParts {
  ledger: CrashLedger;
  list: QuarantineList;
  gossip: PartGossip;
  /** A part is quarantined from now on. */
  onQuarantined(ctx: GatewayContext): void;
}

/** Creates the verdicts of a list. */
export function createVerdicts(parts: VerdictParts): Verdicts {
  const {ledger, list, gossip} = parts;
  /** Steady clock; parts that this gateway convicted. */
  const convictedMs = new Map<string, number>();

  function on(part: string): QuarantineEntry | undefined {
    const entry = list.get(part);
    return entry?.state === 'quarantined' ? entry : undefined;
  }

  function refusing(held: readonly string[]): QuarantineEntry[] {
    return held
      .map(on)
      .filter(entry => entry !== undefined)
      .filter(({companions}) => companions.every(part => held.includes(part)));
  }

  function convict(ctx: GatewayContext, part: string): void {
    const known = on(part);
    const companions = ledger.companions(part);
    if (known && known.companions.length <= companions.length) return;
    const {trials = 0} = list.get(part) ?? {};
    convictedMs.set(part, ctx.nowMs);
    const state = 'quarantined';
    change(ctx, {part, state, companions, trials}, 'self');
  }

  function lift(ctx: GatewayContext, part: string, source: PartSource): void {
    const entry = on(part);
    if (!entry) return;
    change(ctx, {...entry, state: 'lifted', companions: []}, source);
  }

  function cleared(ctx: GatewayContext, held: readonly string[]): string[] {
    const companionsOfLifted = held.flatMap(part => on(part)?.companions ?? []);
    for (const part of held) lift(ctx, part, 'self');
    for (const entry of list.all()) {
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
    source: PartSource,
  ): void {
    const before = list.get(verdict.part)?.changedAtMs ?? 0;
    // The time of day may have been set back since.
    const changedAtMs = Math.max(Math.round(ctx.wallMs), before + 1);
    const entry = {...verdict, changedAtMs};
    adopt(ctx, entry, source);
    gossip.tellVerdicts(ctx, [entry], false);
  }

  function adopt(
    ctx: GatewayContext,
    entry: QuarantineEntry,
    source: PartSource,
  ): void {
    const {part, state, companions} = entry;
    const engines = ledger.enginesOf(part);
    const before = on(part);
    if (!list.merge(entry)) return;
    reportVerdict(ctx, entry, engines, source);
    if (state === 'lifted') return ledger.forget(part);
    if (before?.companions.length === companions.length) return;
    parts.onQuarantined(ctx);
    if (companions.length > 0) return;
    ledger.explain(part);
    acquit(ctx, part);
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
