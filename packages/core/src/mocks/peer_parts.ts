import type {Beat} from '../fleet/messages/beat.js';
import type {FleetDigest} from '../fleet/messages/fleet_digest.js';
import type {MemberBeat} from '../fleet/messages/member_beat.js';
import type {PeerMessage} from '../fleet/messages/peer_message.js';
import type {WorkNotice} from '../fleet/messages/work_notice.js';
import type {GatewayEvent} from '../gateway/events/gateway_event.js';

/** A message from another gateway. */
export function peerReceived(
  from: string,
  message: PeerMessage,
  incarnation = 1,
): GatewayEvent {
  return {kind: 'peer_received', from, incarnation, message};
}

/** Heartbeat of a gateway without work in another failure domain. */
export function heartbeat(over: Partial<Beat> = {}): Beat {
  return {
    kind: 'beat',
    failureDomain: 'amman-2',
    storeReachable: false,
    draining: false,
    wantsReply: false,
    withoutWork: false,
    passOn: false,
    work: [],
    ...over,
  };
}

/** An empty digest of a relay in the same failure domain. */
export function fleetDigest(over: Partial<FleetDigest> = {}): FleetDigest {
  return {
    kind: 'fleet_digest',
    passOn: false,
    changes: [],
    beats: [],
    ...over,
  };
}

/** A heartbeat that a relay forwards. */
export function memberHeartbeat(
  member: string,
  over: Partial<MemberBeat> = {},
): MemberBeat {
  return {
    member,
    incarnation: 5,
    failureDomain: 'amman-2',
    storeReachable: false,
    draining: false,
    withoutWork: false,
    work: [],
    ...over,
  };
}

/** A long prompt in prefill on the engine `e1`. */
export function workNotice(over: Partial<WorkNotice> = {}): WorkNotice {
  return {
    work: 1,
    main: 'e1',
    helpers: [],
    shared: false,
    promptTokens: 200_000,
    outputTokens: 100,
    dueInMs: 3_000,
    gapMs: 1_000,
    ageMs: 0,
    writing: false,
    serviceMs: 0,
    ...over,
  };
}
