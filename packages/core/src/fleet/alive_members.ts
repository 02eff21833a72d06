import type {GatewayMember} from './gateway_member.js';

/** The members that are alive, kept until one of them may have died. */
export interface AliveMembers {
  /** Records that a member was heard. */
  heard(member: GatewayMember, nowMs: number): void;
  list(nowMs: number): readonly GatewayMember[];
  addresses(nowMs: number): readonly string[];
}

/**
 * Creates a view of the members that were heard within `deadAfterMs`. Each
 * step of a gateway asks for them, and a fleet has hundreds, so the list is
 * built again only if a member returns or the one that was silent for longest
 * when it was built may have died.
 */
export function createAliveMembers(
  members: ReadonlyMap<string, GatewayMember>,
  deadAfterMs: number,
): AliveMembers {
  let alive: readonly GatewayMember[] = [];
  let aliveAddresses: readonly string[] = [];
  /** Steady clock; the list is valid from `builtMs` to `validUntilMs`. */
  let builtMs = Number.POSITIVE_INFINITY;
  let validUntilMs = Number.NEGATIVE_INFINITY;

  function isAlive({lastHeardMs}: GatewayMember, nowMs: number): boolean {
    return lastHeardMs !== undefined && nowMs - lastHeardMs < deadAfterMs;
  }

  function refresh(nowMs: number): void {
    if (nowMs >= builtMs && nowMs < validUntilMs) return;
    alive = [...members.values()].filter(member => isAlive(member, nowMs));
    aliveAddresses = alive.map(({address}) => address);
    builtMs = nowMs;
    validUntilMs = Number.POSITIVE_INFINITY;
    for (const {lastHeardMs = nowMs} of alive) {
      validUntilMs = Math.min(validUntilMs, lastHeardMs + deadAfterMs);
    }
  }

  return {
    heard: (member, nowMs) => {
      if (!isAlive(member, nowMs)) validUntilMs = Number.NEGATIVE_INFINITY;
      member.lastHeardMs = nowMs;
    },
    list: nowMs => {
      refresh(nowMs);
      return alive;
    },
    addresses: nowMs => {
      refresh(nowMs);
      return aliveAddresses;
    },
  };
}
