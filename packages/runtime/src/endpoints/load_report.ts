import {z} from 'zod';

/** An endpoint's load report as sent on the wire. */
export const LOAD_REPORT = z.object({
  incarnation: z.string(),
  leaving: z.boolean(),
  queuedPrefillTokens: z.number(),
  decodeStreams: z.number(),
  kvUsedTokens: z.number(),
  kvCapacityTokens: z.number(),
  cacheSequence: z.number(),
  sessions: z.array(
    z.object({
      id: z.string(),
      kind: z.enum(['stream', 'reservation', 'export']),
      owner: z.string(),
      reqId: z.string(),
      tokens: z.number(),
      ageMs: z.number(),
    }),
  ),
  models: z.array(z.string()),
  adapters: z.array(z.string()).optional(),
  role: z.enum(['mixed', 'prefill', 'decode']).optional(),
});
