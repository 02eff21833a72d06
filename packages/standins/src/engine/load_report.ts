import type {EndpointReport} from '@wisterialadder/core/router/events/endpoint_report.js';

/** Answer to `GET /wl/load`. */
export type LoadReport = Omit<EndpointReport, 'kind' | 'endpoint'>;
