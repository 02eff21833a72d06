import {z} from 'zod';

const TOKENS = z.number().int().min(1).max(4_000_000);
const SHARE = z.number().positive();

const LENGTH = z.discriminatedUnion('distribution', [
  z.strictObject({distribution: z.literal('fixed'), tokens: TOKENS}),
  z.strictObject({
    distribution: z.literal('log_uniform'),
    min: TOKENS,
    max: TOKENS,
  }),
  z.strictObject({
    distribution: z.literal('log_normal'),
    median: TOKENS,
    sigma: z.number().min(0).max(10),
    min: TOKENS,
    max: TOKENS,
  }),
]);

const COMMON = {
  name: z.string().min(1),
  /** Share of the requests, relative to the other classes. */
  share: SHARE,
  timeoutMs: z.number().int().min(1),
  idempotent: z.boolean().default(true),
  /** Share of requests sent twice with the same idempotency key. */
  repeatShare: z.number().min(0).max(1).default(0),
  /** Customers that use the class; empty for all. */
  customers: z.array(z.string()).default([]),
};

const CHAT_CLASS = z.strictObject({
  ...COMMON,
  kind: z.literal('chat'),
  model: z.string().default(''),
  length: LENGTH,
  maxTokens: z.number().int().min(1).default(64),
  sharedPrefixes: z
    .strictObject({
      count: z.number().int().min(1),
      tokens: TOKENS,
    })
    .optional(),
});

const SERVICE_CLASS = z.strictObject({
  ...COMMON,
  kind: z.literal('service'),
  service: z.string().min(1),
  action: z.string().min(1),
});

/** Schema of a mix file. */
export const MIX_SCHEMA = z.strictObject({
  requestsPerSecond: z.number().positive(),
  /** Multiplies the rate during the first `lengthMs` of each period. */
  burst: z
    .strictObject({
      periodMs: z.number().positive(),
      lengthMs: z.number().positive(),
      factor: z.number().min(1),
    })
    .optional(),
  customers: z
    .array(
      z.strictObject({
        name: z.string().min(1),
        /** Bearer key. */
        key: z.string(),
        share: SHARE.default(1),
      }),
    )
    .min(1),
  classes: z
    .array(z.discriminatedUnion('kind', [CHAT_CLASS, SERVICE_CLASS]))
    .min(1),
});
