import {z} from 'zod';

/** Response of `GET /status` on the operations port of `wl-gateway`. */
export const GATEWAY_STATUS_RESPONSE = z.object({
  address: z.string(),
  stage: z.string(),
  configurationVersion: z.number(),
  knowledgeAgeMs: z.number(),
  storeReachable: z.boolean(),
  inFlight: z.number(),
  // Gateways of earlier releases do not send it.
  drainedDomains: z.array(z.string()).default([]),
  members: z.array(
    z.object({
      address: z.string(),
      failureDomain: z.string(),
      alive: z.boolean(),
      silentMs: z.number(),
      storeReachable: z.boolean(),
      draining: z.boolean(),
    }),
  ),
  endpoints: z.array(
    z.object({
      id: z.string(),
      service: z.string(),
      address: z.string(),
      failureDomain: z.string(),
      standing: z.string(),
      asideMs: z.number(),
      // Gateways of earlier releases do not send it.
      pausedMs: z.number().default(0),
      coldMs: z.number().default(0),
      limitPerS: z.number().default(-1),
      failures: z.number(),
      lastFailure: z.string(),
      pace: z.number(),
      inFlight: z.number(),
      readingMs: z.number(),
    }),
  ),
  // Gateways of earlier releases send neither.
  quarantine: z
    .array(
      z
        .object({
          cause: z.string().default(''),
          // Gateways of earlier releases send it in place of the cause.
          part: z.string().default(''),
          state: z.enum(['quarantined', 'lifted']),
          companions: z.array(z.string()),
          changedAtMs: z.number(),
          trials: z.number(),
        })
        .transform(({cause, part, ...rest}) => ({
          cause: cause || part,
          ...rest,
        })),
    )
    .default([]),
  suspectedCauses: z.array(z.string()).default([]),
  repeatsLeft: z.record(z.string(), z.number()),
});

/** State of a gateway and its view of peers and endpoints. */
export type GatewayStatusResponse = z.infer<typeof GATEWAY_STATUS_RESPONSE>;
