import {chooseRelay, usesRelays} from './choose_relay.js';
import type {FleetMembers} from './fleet_members.js';
import type {MemberRecord} from './member_record.js';
import {createRelayHealth} from './relay_health.js';

/** Chooses the gateway that relays messages of this one to the fleet. */
export interface RelayLink {
  /**
   * Peer address of the relay, which may be this gateway; undefined if
   * messages go to all gateways directly.
   */
  relay(nowMs: number): string | undefined;
  /** Records a message to the relay. */
  sent(nowMs: number): void;
  /** Records that the relay has passed on a message of this gateway. */
  confirmed(): void;
  /** Marks a relay that confirms nothing as failed; true if it does so now. */
  expire(nowMs: number): boolean;
  /** Whether the relay has not passed on a message yet. */
  awaitsConfirmation(): boolean;
}

/** Dependencies of the link. */
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
    awaitsConfirmation: relayHealth.awaitsConfirmation,
  };
}
