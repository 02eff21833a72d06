import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import type {Readiness} from '@wisterialadder/runtime/http/readiness.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';

/** Serves the readiness probe of the load balancer before the gateways. */
export function probeRoutes(path: string, readiness: Readiness): HttpRoute[] {
  return [
    {
      method: 'GET',
      path: new RegExp(`^${path}$`),
      handler: (_req, res) => {
        const {ready, reason} = readiness;
        sendJson(res, ready ? 200 : 503, {ready, reason});
      },
    },
  ];
}
