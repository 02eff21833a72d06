import type {GatewayStatus} from '@wisterialadder/core/gateway/gateway_status.js';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';

/** Serves the gateway's view of the fleet for `wlctl gateway status`. */
export function statusRoute(status: () => GatewayStatus): HttpRoute {
  return {
    method: 'GET',
    path: /^\/status$/,
    handler: (_req, res) => sendJson(res, 200, status()),
  };
}
