import type {Beat} from './beat.js';
import type {EndpointDoubt} from './endpoint_doubt.js';
import type {EndpointLeaving} from './endpoint_leaving.js';
import type {MemoryRenewal} from './memory_renewal.js';
import type {MemoryRenewed} from './memory_renewed.js';
import type {CrashNews} from './crash_news.js';
import type {QuarantineNews} from './quarantine_news.js';
import type {EndpointLimit} from './endpoint_limit.js';
import type {StateCopy} from './state_copy.js';
import type {StatePull} from './state_pull.js';
import type {StoreNews} from './store_news.js';
import type {FleetDigest} from './fleet_digest.js';
import type {WorkEstimates} from './work_estimates.js';
import type {WorkUpdate} from './work_update.js';

/** Every message between gateways. */
export type PeerMessage =
  | Beat
  | EndpointDoubt
  | EndpointLeaving
  | EndpointLimit
  | MemoryRenewal
  | MemoryRenewed
  | CrashNews
  | QuarantineNews
  | StateCopy
  | StatePull
  | StoreNews
  | FleetDigest
  | WorkEstimates
  | WorkUpdate;
