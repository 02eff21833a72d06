import type {QuarantineEntry} from '../quarantine/quarantine_entry.js';
import type {EndpointStatus} from './endpoint_status.js';
import type {MemberStatus} from './member_status.js';

/** Status of a gateway, for operators. */
export interface GatewayStatus {
  /** Peer address, `IP:PORT`. */
  address: string;
  stage: string;
  configurationVersion: number;
  /** Age of the copies of configuration and registry; -1 without them. */
  knowledgeAgeMs: number;
  storeReachable: boolean;
  inFlight: number;
  /** Failure domains whose endpoints get no requests. */
  drainedDomains: string[];
  members: MemberStatus[];
  endpoints: EndpointStatus[];
  /** Parts of prompts and requests that are or were kept from engines. */
  quarantine: QuarantineEntry[];
  /** What may have ended engines; one request at a time has it. */
  suspectedCauses: string[];
  /** Remaining retry budget of this gateway, by service. */
  repeatsLeft: Record<string, number>;
}
