import type {GatewayContext} from '../gateway/gateway_context.js';
import type {MemberRecord} from './member_record.js';

const ANNOUNCE_RETRY_MS = 1_000;

/** Announces a gateway in the store and asks who else has done so. */
export interface MemberDiscovery {
  /** Repeats what was not answered. */
  expire(ctx: GatewayContext): void;
  /** The announcement is in the store. */
  announced(ctx: GatewayContext): void;
  /** The others are known. */
  completed(): void;
  /** They could not be read. */
  readFailed(): void;
}

/** Creates the introduction of a gateway that has announced nothing. */
export function createMemberDiscovery(self: MemberRecord): MemberDiscovery {
  let stage: 'new' | 'announced' | 'completed' = 'new';
  let askedMs = Number.NEGATIVE_INFINITY;

  function ask(ctx: GatewayContext): void {
    askedMs = ctx.nowMs;
    if (stage === 'new') ctx.emit({kind: 'announce_member', record: self});
    else {
      ctx.emit({kind: 'read_store', call: 'members', fromOffset: undefined});
    }
  }

  return {
    expire: ctx => {
      if (stage === 'completed') return;
      if (ctx.nowMs - askedMs >= ANNOUNCE_RETRY_MS) ask(ctx);
    },
    announced: ctx => {
      stage = 'announced';
      ask(ctx);
    },
    completed: () => {
      stage = 'completed';
    },
    readFailed: () => {
      stage = 'announced';
    },
  };
}
