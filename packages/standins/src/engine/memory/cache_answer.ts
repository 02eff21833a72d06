import type {CacheEvents} from '@wisterialadder/core/router/events/cache_events.js';

/** Answer to `GET /wl/cache-events`. */
export type CacheAnswer = Omit<CacheEvents, 'kind' | 'endpoint'>;
