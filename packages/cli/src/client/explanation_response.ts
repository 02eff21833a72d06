import {z} from 'zod';

/** Response of `GET /explain` on the operations port of `wl-gateway`. */
export const EXPLANATION_RESPONSE = z.object({
  decision: z.string(),
  service: z.string(),
  outputTokens: z.number(),
  serviceMs: z.number(),
  main: z.string(),
  helpers: z.array(z.string()),
  startInMs: z.number(),
  expectedMs: z.number(),
  loss: z.number(),
  reason: z.string(),
  endpoints: z.array(
    z.object({
      id: z.string(),
      failureDomain: z.string(),
      excluded: z.string(),
      inFlight: z.number(),
      expectedMs: z.number(),
      loss: z.number(),
      queued: z.boolean(),
    }),
  ),
});

/** Where a request would go and why. */
export type ExplanationResponse = z.infer<typeof EXPLANATION_RESPONSE>;
