import type {ExplainRequest} from '@wisterialadder/core/gateway/explain_request.js';
import type {Explanation} from '@wisterialadder/core/gateway/explanation.js';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';

/** Serves the explanation of a choice for `wlctl explain`. */
export function explainRoute(
  explain: (req: ExplainRequest) => Explanation,
): HttpRoute {
  return {
    method: 'GET',
    path: /^\/explain$/,
    handler: (req, res) => {
      const query = new URL(req.url ?? '/', 'http://localhost').searchParams;
      sendJson(res, 200, explain(explainRequestOf(query)));
    },
  };
}

function explainRequestOf(query: URLSearchParams): ExplainRequest {
  const tokens = (name: string): number => {
    const value = Number(query.get(name));
    return Number.isSafeInteger(value) ? Math.max(0, value) : 0;
  };
  return {
    route: query.get('route') ?? '',
    customer: query.get('customer') ?? '',
    promptTokens: tokens('promptTokens'),
    maxOutputTokens: tokens('maxOutputTokens'),
    expectedOutputTokens: tokens('expectedOutputTokens'),
    parts: query.getAll('part'),
  };
}
