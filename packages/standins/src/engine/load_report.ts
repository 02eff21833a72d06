import type {EndpointReport} from '@wisterialadder/core/router/events/endpoint_report.js';

/** Response body of `GET /wl/load`. */
export type LoadReport = Omit<EndpointReport, 'kind' | 'endpoint'>;
