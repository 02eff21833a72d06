import type {z} from 'zod';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import type {CallTable} from './call_table.js';
import {readJson} from './read_json.js';

/** Creates a route that validates a JSON body and opens a call for it. */
export function postRoute<T>(
  calls: CallTable,
  path: RegExp,
  schema: z.ZodType<T>,
  handle: (callId: string, body: T, match: Record<string, string>) => void,
): HttpRoute {
  return {
    method: 'POST',
    path,
    handler: async (req, res, match) => {
      const body = await readJson(req, schema);
      if (!body.ok) sendJson(res, 400, {error: body.val});
      else handle(calls.open(res), body.val, match);
    },
  };
}
