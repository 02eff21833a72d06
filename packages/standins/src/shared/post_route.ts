import type {z} from 'zod';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import {sendJson} from '@wisterialadder/runtime/http/send_json.js';
import type {CallTable} from './call_table.js';
import {readJson} from './read_json.js';

/** A route that checks a JSON body and passes it on with a call id. */
export function postRoute<T>(
  calls: CallTable,
  path: RegExp,
  schema: z.ZodType<T>,
  accept: (callId: string, body: T, match: Record<string, string>) => void,
): HttpRoute {
  return {
    method: 'POST',
    path,
    handler: async (req, res, match) => {
      const body = await readJson(req, schema);
      if (!body.ok) sendJson(res, 400, {error: body.val});
      else accept(calls.open(res), body.val, match);
    },
  };
}
