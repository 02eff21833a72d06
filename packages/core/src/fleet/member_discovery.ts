import type {GatewayContext} from '../gateway/gateway_context.js';
import type {MemberRecord} from './member_record.js';

const RETRY_INTERVAL_MS = 1_000;

/** Announces a gateway in the store, then reads the announced members. */
export interface MemberDiscovery {
  /** Retries a call that was not answered. */
  expire(ctx: GatewayContext): void;
  /** The store has recorded the announcement. */
  announced(ctx: GatewayContext): void;
  /** The other members were read. */
  completed(): void;
  /** The other members could not be read. */
  readFailed(): void;
  /** The store may have lost the announcement. */
  storeRestored(ctx: GatewayContext): void;
}

/** Creates the discovery of a gateway that is not announced yet. */
export function createMemberDiscovery(self: MemberRecord): MemberDiscovery {
  let stage: 'new' | 'announced' | 'completed' = 'new';
  let lastCallMs = Number.NEGATIVE_INFINITY;

  function sendCall(ctx: GatewayContext): void {
    lastCallMs = ctx.nowMs;
    if (stage === 'new') ctx.emit({kind: 'announce_member', record: self});
    else {
      ctx.emit({kind: 'read_store', call: 'members', fromOffset: undefined});
    }
  }

  return {
    expire: ctx => {
      if (stage === 'completed') return;
      if (ctx.nowMs - lastCallMs >= RETRY_INTERVAL_MS) sendCall(ctx);
    },
    announced: ctx => {
      stage = 'announced';
      sendCall(ctx);
    },
    completed: () => {
      stage = 'completed';
    },
    readFailed: () => {
      stage = 'announced';
    },
    storeRestored: ctx => {
      stage = 'new';
      // All gateways hear of it at once; their calls spread over the interval.
      lastCallMs = ctx.nowMs - ctx.random() * RETRY_INTERVAL_MS;
    },
  };
}
