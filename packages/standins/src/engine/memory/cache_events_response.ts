import type {CacheEvents} from '@wisterialadder/core/router/events/cache_events.js';

/** Response body of `GET /wl/cache-events`. */
export type CacheEventsResponse = Omit<CacheEvents, 'kind' | 'endpoint'>;
