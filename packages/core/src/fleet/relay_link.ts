import {chooseRelay, usesRelays} from './choose_relay.js';
import type {FleetMembers} from './fleet_members.js';
import type {MemberRecord} from './member_record.js';
import {createRelayHealth} from './relay_health.js';

/** Which gateway passes on what this one tells the fleet. */
export interface RelayLink {
  /**
   * Peer address of the relay, which may be this gateway; undefined if others
   * are told directly.
   */
  relay(nowMs: number): string | undefined;
  /** Something was sent to the relay. */
  sent(nowMs: number): void;
  /** The relay has passed something on. */
  confirmed(): void;
  /** Whether the trust in the relay is lost at this moment. */
  expire(nowMs: number): boolean;
}

/** What the link looks at. */
export interface RelayLinkParts {
  self: MemberRecord;
  members: FleetMembers;
  draining(): boolean;
}

/** Creates the link of a gateway that has sent nothing. */
export function createRelayLink(parts: RelayLinkParts): RelayLink {
  const {address, failureDomain} = parts.self;
  const relayHealth = createRelayHealth();

  function relay(nowMs: number): string | undefined {
    const alive = parts.members.alive(nowMs);
    if (!usesRelays(alive)) return undefined;
    const own = {address, failureDomain, draining: parts.draining()};
    const chosen = chooseRelay(failureDomain, [...alive, own]);
    return chosen === address || relayHealth.isHealthy(nowMs)
      ? chosen
      : undefined;
  }

  return {
    relay,
    sent: relayHealth.sent,
    confirmed: relayHealth.confirmed,
    expire: relayHealth.expire,
  };
}
