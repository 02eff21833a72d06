import type {Beat} from '@wisterialadder/core/fleet/messages/beat.js';
import type {EndpointDoubt} from '@wisterialadder/core/fleet/messages/endpoint_doubt.js';
import type {EndpointLeaving} from '@wisterialadder/core/fleet/messages/endpoint_leaving.js';
import type {EndpointLimit} from '@wisterialadder/core/fleet/messages/endpoint_limit.js';
import type {FleetDigest} from '@wisterialadder/core/fleet/messages/fleet_digest.js';
import type {MemoryRenewal} from '@wisterialadder/core/fleet/messages/memory_renewal.js';
import type {MemoryRenewed} from '@wisterialadder/core/fleet/messages/memory_renewed.js';
import type {CrashNews} from '@wisterialadder/core/fleet/messages/crash_news.js';
import type {QuarantineNews} from '@wisterialadder/core/fleet/messages/quarantine_news.js';
import type {StoreNews} from '@wisterialadder/core/fleet/messages/store_news.js';
import type {WorkEstimates} from '@wisterialadder/core/fleet/messages/work_estimates.js';
import type {WorkUpdate} from '@wisterialadder/core/fleet/messages/work_update.js';

/** Messages that are small and frequent and tolerate loss. */
export type DatagramMessage =
  | Beat
  | EndpointDoubt
  | EndpointLeaving
  | EndpointLimit
  | FleetDigest
  | MemoryRenewal
  | MemoryRenewed
  | CrashNews
  | QuarantineNews
  | StoreNews
  | WorkEstimates
  | WorkUpdate;
