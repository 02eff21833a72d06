import type {EndpointStatus} from './endpoint_status.js';
import type {MemberStatus} from './member_status.js';

/** What a gateway believes, for the people who run it. */
export interface GatewayStatus {
  /** Peer address, `IP:PORT`. */
  address: string;
  stage: string;
  configurationVersion: number;
  /** Age of what is known of configuration and endpoints; -1 if nothing is. */
  knowledgeAgeMs: number;
  storeReachable: boolean;
  inFlight: number;
  members: MemberStatus[];
  endpoints: EndpointStatus[];
  /** Repeats that are left to this gateway, by service. */
  repeatsLeft: Record<string, number>;
}
