import type {EngineSession} from '@wisterialadder/core/types/engine_session.js';
import type {EngineConfig} from '../engine_config.js';
import type {EngineContext} from '../engine_context.js';
import type {EngineFaults} from '../engine_faults.js';
import type {ExportAsked} from '../events/export_asked.js';
import type {ImportAsked} from '../events/import_asked.js';
import type {ReservationAsked} from '../events/reservation_asked.js';
import {BLOCK_TOKENS} from '../memory/block_tokens.js';
import type {KvAllocation} from '../memory/kv_allocation.js';
import type {KvMemory} from '../memory/kv_memory.js';
import type {HeldSession} from './held_session.js';

/** Reservations and exports, which end by release or by TTL expiry. */
export interface HeldSessions {
  reserve(ctx: EngineContext, event: ReservationAsked): void;
  /** Restarts the TTL of a reservation. */
  use(ctx: EngineContext, callId: string, sessionId: string): void;
  export(ctx: EngineContext, event: ExportAsked): void;
  import(ctx: EngineContext, event: ImportAsked): void;
  /** False if there is no such session. */
  deleteSession(sessionId: string): boolean;
  expire(ctx: EngineContext): void;
  sessions(nowMs: number): EngineSession[];
}

/** Creates an empty set that allocates from `memory`. */
export function createHeldSessions(
  cfg: EngineConfig,
  memory: KvMemory,
  faults: EngineFaults,
): HeldSessions {
  const held = new Map<string, HeldSession>();
  let opened = 0;

  function open(
    ctx: EngineContext,
    event: ReservationAsked | ExportAsked,
    kind: HeldSession['kind'],
    allocation: KvAllocation,
  ): HeldSession {
    opened += 1;
    const {owner, reqId, ttlMs} = event;
    const session: HeldSession = {
      id: `${cfg.incarnation}-${kind === 'export' ? 'x' : 'r'}${opened}`,
      kind,
      owner,
      reqId,
      tokens:
        allocation.uncachedTokens + allocation.pinned.length * BLOCK_TOKENS,
      allocation,
      createdMs: ctx.nowMs,
      ttlMs,
      expiresMs: ctx.nowMs + ttlMs,
    };
    held.set(session.id, session);
    return session;
  }

  function refuseIfLeaving(ctx: EngineContext, callId: string): boolean {
    if (faults.leaving) ctx.emit({kind: 'refuse', callId, code: 'leaving'});
    return faults.leaving;
  }

  function reserve(ctx: EngineContext, event: ReservationAsked): void {
    const {callId, tokens, ttlMs} = event;
    if (refuseIfLeaving(ctx, callId)) return;
    const allocation = memory.allocate([], tokens);
    if (!allocation) {
      ctx.emit({kind: 'refuse', callId, code: 'full'});
      return;
    }
    const {id} = open(ctx, event, 'reservation', allocation);
    const body = {sessionId: id, tokens, ttlMs};
    ctx.emit({kind: 'answer', callId, status: 200, body});
  }

  function use(ctx: EngineContext, callId: string, sessionId: string): void {
    const session = held.get(sessionId);
    if (session) session.expiresMs = ctx.nowMs + session.ttlMs;
    const body = {sessionId, found: session !== undefined};
    ctx.emit({kind: 'answer', callId, status: session ? 200 : 404, body});
  }

  function exportBlocks(ctx: EngineContext, event: ExportAsked): void {
    const {callId} = event;
    if (refuseIfLeaving(ctx, callId)) return;
    const allocation = memory.pin(event.hashes);
    const {id} = open(ctx, event, 'export', allocation);
    const body = {sessionId: id, hashes: [...allocation.pinned]};
    ctx.emit({kind: 'answer', callId, status: 200, body});
  }

  function importBlocks(ctx: EngineContext, event: ImportAsked): void {
    const body = {blocks: memory.insert(event.hashes)};
    ctx.emit({kind: 'answer', callId: event.callId, status: 200, body});
  }

  function deleteSession(sessionId: string): boolean {
    const session = held.get(sessionId);
    if (session) memory.release(session.allocation);
    return held.delete(sessionId);
  }

  return {
    reserve,
    use,
    export: exportBlocks,
    import: importBlocks,
    deleteSession,
    expire: ctx => {
      for (const {id, expiresMs} of [...held.values()]) {
        if (ctx.nowMs >= expiresMs) deleteSession(id);
      }
    },
    sessions: nowMs =>
      [...held.values()].map(({id, kind, owner, reqId, tokens, createdMs}) => {
        const ageMs = Math.round(nowMs - createdMs);
        return {id, kind, owner, reqId, tokens, ageMs};
      }),
  };
}
