import type {AliveMembers} from '../membership/alive_members.js';
import type {RouterContext} from '../router/router_context.js';
import type {TableRelay} from './table_relay.js';

/** Time for peers to answer; each query may be lost five times. */
const ROUND_TIMEOUT_MS = 1_500;
const MAX_QUERY_ID = 2 ** 31;
const RESEND_INTERVAL_MS = 250;
/** Time after a round during which its answers still count. */
const ANSWERS_VALID_MS = 500;

/** Queries the table offset of every known peer. */
export interface PeerPoll {
  /** Starts a round if none is valid; resends unanswered queries. */
  advance(ctx: RouterContext): void;
  /** Whether each peer has answered or the round has timed out. */
  complete(ctx: RouterContext): boolean;
}

/** Creates a poll that has not started. */
export function createPeerPoll(
  members: AliveMembers,
  relay: TableRelay,
): PeerPoll {
  let startedMs: number | undefined;
  let nextSendMs = 0;
  // Random, so that late answers to earlier queries, even of an earlier
  // process at this address, do not count.
  let queryId = 0;

  function unansweredPeers(): string[] {
    return members
      .alive()
      .filter(peer => peer !== members.self)
      .filter(peer => !relay.hasAnswered(peer, queryId));
  }

  function advance(ctx: RouterContext): void {
    if (
      startedMs === undefined ||
      ctx.nowMs > startedMs + ROUND_TIMEOUT_MS + ANSWERS_VALID_MS
    ) {
      startedMs = ctx.nowMs;
      queryId = 1 + Math.floor(ctx.random() * MAX_QUERY_ID);
    }
    if (ctx.nowMs < nextSendMs) return;
    nextSendMs = ctx.nowMs + RESEND_INTERVAL_MS;
    relay.requestOffsets(ctx, unansweredPeers(), queryId);
  }

  function complete(ctx: RouterContext): boolean {
    if (startedMs === undefined) return false;
    return (
      ctx.nowMs >= startedMs + ROUND_TIMEOUT_MS ||
      unansweredPeers().length === 0
    );
  }

  return {advance, complete};
}
