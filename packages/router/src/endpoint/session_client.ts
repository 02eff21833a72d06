import {request} from 'undici';
import {z} from 'zod';
import type {ReadCache} from '@wisterialadder/core/router/actions/read_cache.js';
import type {ReleaseSession} from '@wisterialadder/core/router/actions/release_session.js';
import type {Reserve} from '@wisterialadder/core/router/actions/reserve.js';
import type {RouterEvent} from '@wisterialadder/core/router/events/router_event.js';

const CALL_TIMEOUT_MS = 2_000;
const TIMEOUTS = {
  headersTimeout: CALL_TIMEOUT_MS,
  bodyTimeout: CALL_TIMEOUT_MS,
};

const RESERVE_ANSWER = z.object({sessionId: z.string()});
const CACHE_ANSWER = z.object({
  incarnation: z.string(),
  firstSequence: z.number(),
  lastSequence: z.number(),
  full: z.boolean(),
  added: z.array(z.string()),
  removed: z.array(z.string()),
});

/** Calls about an engine's memory: reservations, sessions, cache events. */
export interface SessionClient {
  reserve(action: Reserve): Promise<void>;
  release(action: ReleaseSession): Promise<void>;
  readCache(action: ReadCache): Promise<void>;
}

/**
 * Creates a client that pushes responses as events. Its calls never reject: a
 * failed reservation counts as refused, other failures are ignored.
 */
export function createSessionClient(
  owner: string,
  push: (event: RouterEvent) => void,
): SessionClient {
  async function reserve(action: Reserve): Promise<void> {
    const {reqId, attempt, endpoint, tokens} = action;
    // Engines accept whole milliseconds only; the monotonic clock has fractions.
    const ttlMs = Math.ceil(action.ttlMs);
    let sessionId = '';
    try {
      const res = await request(`${action.url}/wl/reservations`, {
        method: 'POST',
        headers: {'content-type': 'application/json', 'wl-owner': owner},
        body: JSON.stringify({
          reqId,
          owner,
          tokens,
          ttlMs,
        }),
        ...TIMEOUTS,
      });
      const parsed = RESERVE_ANSWER.safeParse(await res.body.json());
      if (parsed.success) sessionId = parsed.data.sessionId;
    } catch {
      // The engine drops an unanswered reservation after its time to live.
    }
    const granted = sessionId !== '';
    push({
      kind: 'reservation_settled',
      reqId,
      attempt,
      endpoint,
      granted,
      sessionId,
    });
  }

  async function release(action: ReleaseSession): Promise<void> {
    const id = encodeURIComponent(action.sessionId);
    try {
      const res = await request(`${action.url}/wl/sessions/${id}`, {
        method: 'DELETE',
        ...TIMEOUTS,
      });
      await res.body.dump();
    } catch {
      // The session stays listed and is released again as an orphan.
    }
  }

  async function readCache(action: ReadCache): Promise<void> {
    const {endpoint, after} = action;
    try {
      const url = `${action.url}/wl/cache-events?after=${after}`;
      const res = await request(url, TIMEOUTS);
      const parsed = CACHE_ANSWER.safeParse(await res.body.json());
      if (!parsed.success) return;
      push({kind: 'cache_events', endpoint, ...parsed.data});
    } catch {
      // The next load report reveals the missing events.
    }
  }

  return {reserve, release, readCache};
}
