import type {AliveMembers} from '../membership/alive_members.js';
import type {RouterContext} from '../router/router_context.js';
import type {TableRelay} from './table_relay.js';

/** Time that peers have to answer; five losses of one question fit in. */
const ROUND_MS = 1_500;
const MAX_QUESTION = 2 ** 31;
const REPEAT_MS = 250;
/** Time after a round in which its answers still count. */
const VALID_MS = 500;

/** Asks every known peer how new its table is. */
export interface PeerPoll {
  /** Starts a round if none is valid; repeats unanswered questions. */
  advance(ctx: RouterContext): void;
  /** Whether each peer has answered or has had the time to. */
  complete(ctx: RouterContext): boolean;
}

/** Creates a poll that has not started. */
export function createPeerPoll(
  members: AliveMembers,
  relay: TableRelay,
): PeerPoll {
  let startedMs: number | undefined;
  let askAtMs = 0;
  // Old messages, even to an earlier process here, are not taken as answers.
  let question = 0;

  function unanswered(): string[] {
    return members
      .alive()
      .filter(peer => peer !== members.self)
      .filter(peer => !relay.hasAnswered(peer, question));
  }

  function advance(ctx: RouterContext): void {
    if (
      startedMs === undefined ||
      ctx.nowMs > startedMs + ROUND_MS + VALID_MS
    ) {
      startedMs = ctx.nowMs;
      question = 1 + Math.floor(ctx.random() * MAX_QUESTION);
    }
    if (ctx.nowMs < askAtMs) return;
    askAtMs = ctx.nowMs + REPEAT_MS;
    relay.requestOffsets(ctx, unanswered(), question);
  }

  function complete(ctx: RouterContext): boolean {
    if (startedMs === undefined) return false;
    return ctx.nowMs >= startedMs + ROUND_MS || unanswered().length === 0;
  }

  return {advance, complete};
}
