import type {GatewayEvent} from '@wisterialadder/core/gateway/events/gateway_event.js';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';

/** Lifts the quarantine of a part or a request for `wlctl gateway lift`. */
export function liftRoute(push: (event: GatewayEvent) => boolean): HttpRoute {
  return {
    method: 'POST',
    path: /^\/quarantine\/(?<cause>(?:request-\d+-)?[0-9a-f]{1,64})\/lift$/,
    handler: (_req, res, {cause = ''}) => {
      push({kind: 'lift_requested', cause});
      sendJson(res, 202, {cause});
    },
  };
}
