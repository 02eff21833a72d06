import type {EndpointDirectory} from '../endpoints/endpoint_directory.js';
import type {Membership} from '../membership/membership.js';
import type {EndpointReport} from '../router/events/endpoint_report.js';
import type {RouterContext} from '../router/router_context.js';
import type {RouterFeature} from '../router/router_feature.js';
import type {EngineSession} from '../types/engine_session.js';
import {chooseReleasers} from './choose_releasers.js';
import type {EndpointOrphans} from './endpoint_orphans.js';
import {orphanReasonOf} from './orphan_reason_of.js';
import type {OrphanReason} from './orphan_reason.js';
import {parseSessionOwner} from './session_owner.js';
import type {OrphanSession} from './orphan_session.js';

/** Several times what an alive member needs to refute a report of its death. */
const GRACE_MS = 15_000;
/** A new router knows every member after a few digest exchanges. */
const FORGOTTEN_GRACE_MS = 120_000;
/** Delay after which the next router in order releases a listed session. */
const RANK_DELAY_MS = 10_000;
/** Pause between two releases of a session that is still listed. */
const RELEASE_RETRY_MS = 5_000;
/** After a longer pause between reports, the grace period starts again. */
const REPORT_GAP_MS = 5_000;

/** Dependencies of the orphan search. */
export interface OrphansParts {
  members: Membership;
  endpoints: EndpointDirectory;
  /** Whether the settings name other routers. */
  hasPeers: boolean;
  /** Whether this router uses a session that is listed as its own. */
  isInUse(endpoint: string, session: EngineSession): boolean;
}

/** Creates the feature that releases orphaned engine sessions. */
export function createOrphans(parts: OrphansParts): RouterFeature {
  const {members, endpoints} = parts;
  const orphansByEndpoint = new Map<string, EndpointOrphans>();

  function reported(ctx: RouterContext, report: EndpointReport): void {
    const {endpoint, incarnation} = report;
    const before = orphansByEndpoint.get(endpoint);
    const continuous =
      before?.incarnation === incarnation &&
      ctx.nowMs - before.reportMs <= REPORT_GAP_MS;
    const partitioned = mayBePartitioned();
    const sessions = new Map<string, OrphanSession>();
    for (const session of report.sessions) {
      const reason = findReason(endpoint, session, partitioned);
      if (!reason) continue;
      const known = continuous ? before.sessions.get(session.id) : undefined;
      const orphan =
        known?.reason === reason
          ? known
          : {reason, sinceMs: ctx.nowMs, releasedMs: undefined};
      sessions.set(session.id, orphan);
      releaseIfDue(ctx, endpoint, session, orphan);
    }
    orphansByEndpoint.set(endpoint, {
      incarnation,
      reportMs: ctx.nowMs,
      sessions,
    });
  }

  /**
   * Whether this router may be partitioned, as it sees no majority of its peers
   * alive. Their silence then proves nothing, and the grace period starts
   * when they are back.
   */
  function mayBePartitioned(): boolean {
    const alive = members.alive().length;
    const alone = alive === 1 && parts.hasPeers;
    return alone || members.dead().length >= alive;
  }

  function findReason(
    endpoint: string,
    session: EngineSession,
    partitioned: boolean,
  ): OrphanReason | undefined {
    const owner = parseSessionOwner(session.owner);
    if (!owner) return undefined;
    const own =
      owner.address === members.self &&
      owner.incarnation === members.incarnation(members.self);
    if (!own) {
      const reason = orphanReasonOf(members, owner);
      return reason === 'owner_restarted' || !partitioned ? reason : undefined;
    }
    return parts.isInUse(endpoint, session) ? undefined : 'unknown_to_owner';
  }

  function releaseIfDue(
    ctx: RouterContext,
    endpoint: string,
    session: EngineSession,
    orphan: OrphanSession,
  ): void {
    const {reason, sinceMs, releasedMs} = orphan;
    const rank = ownRank(endpoint, session, reason);
    if (rank < 0) return;
    const graceMs =
      reason === 'owner_forgotten' ? FORGOTTEN_GRACE_MS : GRACE_MS;
    const dueMs = sinceMs + graceMs + rank * RANK_DELAY_MS;
    if (ctx.nowMs < dueMs) {
      const owner = parseSessionOwner(session.owner);
      if (owner && reason === 'owner_dead' && rank === 0) {
        members.probeNow(ctx, owner.address);
      }
      return;
    }
    if (releasedMs !== undefined && ctx.nowMs - releasedMs < RELEASE_RETRY_MS)
      return;
    orphan.releasedMs = ctx.nowMs;
    release(ctx, endpoint, session, reason);
  }

  function ownRank(
    endpoint: string,
    session: EngineSession,
    reason: OrphanReason,
  ): number {
    if (reason === 'unknown_to_owner') return 0;
    const domain = endpoints.get(endpoint)?.row.failureDomain ?? '';
    const key = `${endpoint}/${session.id}`;
    return chooseReleasers(members, domain, key).indexOf(members.self);
  }

  function release(
    ctx: RouterContext,
    endpoint: string,
    session: EngineSession,
    reason: OrphanReason,
  ): void {
    const url = endpoints.get(endpoint)?.row.url;
    if (url === undefined) return;
    const {id: sessionId, owner, reqId, tokens} = session;
    ctx.emit({kind: 'release_session', endpoint, url, sessionId});
    ctx.emit({
      kind: 'observe',
      metric: 'orphans_released_total',
      labels: {reason},
      value: 1,
    });
    ctx.emit({
      kind: 'write_log',
      event: 'WL5002',
      fields: {endpoint, sessionId, owner, reqId, tokens, reason},
    });
  }

  return {handlers: {endpoint_report: reported}};
}
